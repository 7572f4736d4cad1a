package wallmoor.upgrade;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.Test;

/**
 * The heartbeat files of an earlier version: the name sorts by start time, the modification time is the last heartbeat,
 * and the length encodes the claim and whether the process drains.
 */
public class HeartbeatFilesGoldenTest {
    private static final long NOW = 1_700_000_000_000_100L;
    private static final String CLAIMS_20 = "process-00001700000000000000-101";
    private static final String DRAINS_WITH_7 = "process-00001700000000000010-102";
    private static final String CLAIMS_NOTHING = "process-00001700000000000020-103";
    private static final String UNKNOWN_CLAIM = "process-00001700000000000030-104";
    private static final int LIMIT = 60;

    @Test
    public void readsClaimOfServingProcess() throws Exception {
        assertEquals("half, as the other claims less", LIMIT / 2, quotaBeside(CLAIMS_20));
    }

    @Test
    public void readsClaimOfDrainingProcess() throws Exception {
        assertEquals("all but what the other still claims", LIMIT - 7, quotaBeside(DRAINS_WITH_7));
    }

    @Test
    public void countsProcessWithoutClaim() throws Exception {
        assertEquals(LIMIT / 2, quotaBeside(CLAIMS_NOTHING));
    }

    /** Still earlier versions wrote an empty file. */
    @Test
    public void reservesEvenShareForProcessOfUnknownClaim() throws Exception {
        assertEquals(LIMIT / 2, quotaBeside(UNKNOWN_CLAIM));
    }

    @Test
    public void indexesProcessesInTheOrderOfTheirNames() throws Exception {
        Path directory = Files.createTempDirectory("beats");
        for (String name : List.of(CLAIMS_20, DRAINS_WITH_7, CLAIMS_NOTHING)) {
            copy(name, directory);
        }
        var positions = new ArrayList<ProcessPosition>();
        var files = new HeartbeatFiles(directory, () -> NOW, new Fixed(0, false), positions::add);
        files.start();
        files.close();
        assertEquals(List.of(new ProcessPosition(4, 3)), positions);
    }

    @Test
    public void writesFilesOfTheGoldenLength() throws Exception {
        assertEquals(Files.size(golden(CLAIMS_20)), writtenLength(20, false));
        assertEquals(Files.size(golden(DRAINS_WITH_7)), writtenLength(7, true));
        assertEquals(Files.size(golden(CLAIMS_NOTHING)), writtenLength(0, false));
    }

    /** Returns the quota of this process after its second poll, beside another that left this file. */
    private static int quotaBeside(String other) throws Exception {
        Path directory = Files.createTempDirectory("beats");
        copy(other, directory);
        var user = new Fixed(0, false);
        var files = new HeartbeatFiles(directory, () -> NOW, user, position -> {});
        files.start();
        files.close();
        return user.quota;
    }

    /** Returns the file length of a process that uses {@code inUse} beside another that claims the whole limit. */
    private static long writtenLength(int inUse, boolean draining) throws Exception {
        Path directory = Files.createTempDirectory("beats");
        Path other = directory.resolve("process-00001700000000000001-1");
        Files.write(other, new byte[1 + 2 * LIMIT]);
        Files.setLastModifiedTime(other, FileTime.from(NOW, TimeUnit.MICROSECONDS));
        var files = new HeartbeatFiles(directory, () -> NOW, new Fixed(inUse, draining), position -> {});
        files.start();
        Path own;
        try (var all = Files.list(directory)) {
            own = all.filter(f -> !f.equals(other)).findFirst().orElseThrow();
        }
        assertTrue(own.toString(), own.getFileName().toString()
                .equals("process-0000" + NOW + "-" + ProcessHandle.current().pid()));
        assertEquals(NOW, Files.getLastModifiedTime(own).to(TimeUnit.MICROSECONDS));
        long length = Files.size(own);
        files.close();
        assertTrue("removed at the end", Files.notExists(own));
        return length;
    }

    private static void copy(String name, Path directory) throws IOException {
        try (InputStream in = HeartbeatFilesGoldenTest.class.getResourceAsStream("/golden/upgrade/" + name)) {
            Files.copy(in, directory.resolve(name));
        }
        Files.setLastModifiedTime(directory.resolve(name), FileTime.from(NOW, TimeUnit.MICROSECONDS));
    }

    private static Path golden(String name) {
        return Path.of("src/test/resources/golden/upgrade", name);
    }

    private static final class Fixed implements QuotaUser {
        private final int inUse;
        private final boolean draining;
        private int quota;

        Fixed(int inUse, boolean draining) {
            this.inUse = inUse;
            this.draining = draining;
        }

        @Override
        public int limit() {
            return LIMIT;
        }

        @Override
        public int inUse() {
            return inUse;
        }

        @Override
        public boolean isDraining() {
            return draining;
        }

        @Override
        public void setQuota(int quota, int limit) {
            this.quota = quota;
        }
    }
}

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
 * The signs of life that processes of an earlier version leave: a file's name tells the order of starts, its time when
 * the process was last there, its length what the process claims and whether it is on its way out.
 */
public class HeartbeatFilesGoldenTest {
    private static final long NOW = 1_700_000_000_000_100L;
    private static final String CLAIMS_20 = "process-00001700000000000000-101";
    private static final String LEAVES_WITH_7 = "process-00001700000000000010-102";
    private static final String CLAIMS_NOTHING = "process-00001700000000000020-103";
    private static final String TELLS_NO_CLAIM = "process-00001700000000000030-104";
    private static final int ALL = 60;

    @Test
    public void theClaimOfOneThatStaysIsRead() throws Exception {
        assertEquals("the half, as the other claims less", ALL / 2, mayBeside(CLAIMS_20));
    }

    @Test
    public void theClaimOfOneThatLeavesIsRead() throws Exception {
        assertEquals("all but what it still claims", ALL - 7, mayBeside(LEAVES_WITH_7));
    }

    @Test
    public void oneThatClaimsNothingIsCounted() throws Exception {
        assertEquals(ALL / 2, mayBeside(CLAIMS_NOTHING));
    }

    /** Programs of before left an empty file. */
    @Test
    public void oneThatTellsNoClaimHasItsEvenPart() throws Exception {
        assertEquals(ALL / 2, mayBeside(TELLS_NO_CLAIM));
    }

    @Test
    public void placesAreInTheOrderOfTheNames() throws Exception {
        Path directory = Files.createTempDirectory("beats");
        for (String name : List.of(CLAIMS_20, LEAVES_WITH_7, CLAIMS_NOTHING)) {
            copy(name, directory);
        }
        var told = new ArrayList<ProcessPosition>();
        var files = new HeartbeatFiles(directory, () -> NOW, new Fixed(0, false), told::add);
        files.start();
        files.close();
        assertEquals(List.of(new ProcessPosition(4, 3)), told);
    }

    @Test
    public void theOwnFileIsWrittenAlike() throws Exception {
        assertEquals(Files.size(golden(CLAIMS_20)), lengthWritten(20, false));
        assertEquals(Files.size(golden(LEAVES_WITH_7)), lengthWritten(7, true));
        assertEquals(Files.size(golden(CLAIMS_NOTHING)), lengthWritten(0, false));
    }

    /** What this process may take, at its second look, beside another that left this file. */
    private static int mayBeside(String other) throws Exception {
        Path directory = Files.createTempDirectory("beats");
        copy(other, directory);
        var bound = new Fixed(0, false);
        var files = new HeartbeatFiles(directory, () -> NOW, bound, told -> {});
        files.start();
        files.close();
        return bound.may;
    }

    /** The length of the file of a process that holds so much beside another that claims all. */
    private static long lengthWritten(int held, boolean leaving) throws Exception {
        Path directory = Files.createTempDirectory("beats");
        Path other = directory.resolve("process-00001700000000000001-1");
        Files.write(other, new byte[1 + 2 * ALL]);
        Files.setLastModifiedTime(other, FileTime.from(NOW, TimeUnit.MICROSECONDS));
        var files = new HeartbeatFiles(directory, () -> NOW, new Fixed(held, leaving), told -> {});
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
        private final int held;
        private final boolean leaving;
        private int may;

        Fixed(int held, boolean leaving) {
            this.held = held;
            this.leaving = leaving;
        }

        @Override
        public int limit() {
            return ALL;
        }

        @Override
        public int inUse() {
            return held;
        }

        @Override
        public boolean isDraining() {
            return leaving;
        }

        @Override
        public void setQuota(int most, int all) {
            may = most;
        }
    }
}

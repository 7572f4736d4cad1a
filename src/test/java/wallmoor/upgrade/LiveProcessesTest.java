package wallmoor.upgrade;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.Test;

/** The number of live processes of a gatherer, and the index of each. */
public class LiveProcessesTest {
    private static final long NOW = 1_000_000_000;

    /** Processes that see the same heartbeats agree on their number, and each has a different index. */
    @Property
    void processesAgreeOnCountAndHaveDistinctIndexes(
            @ForAll @Size(min = 1, max = 4) List<@IntRange(max = 9) Integer> numbers) {
        List<String> names = numbers.stream().distinct().map(n -> "process-" + n).toList();
        List<ProcessHeartbeat> heartbeats = names.stream()
                .map(n -> new ProcessHeartbeat(n, NOW - LiveProcesses.HEARTBEAT_INTERVAL_MICROS, 0, false)).toList();
        var indexes = new HashSet<Integer>();
        for (String own : names) {
            ProcessPosition position = LiveProcesses.position(own, NOW, heartbeats);
            assertEquals(names.size(), position.count());
            assertTrue(position.index() >= 0 && position.index() < position.count());
            assertTrue(indexes.add(position.index()));
        }
    }

    @Test
    public void doesNotCountProcessWithoutRecentHeartbeat() {
        List<ProcessHeartbeat> heartbeats = List.of(
                new ProcessHeartbeat("process-1", NOW - LiveProcesses.LIVENESS_TIMEOUT_MICROS, 0, false),
                new ProcessHeartbeat("process-3", NOW - 1, 0, false));
        assertEquals(new ProcessPosition(2, 0), LiveProcesses.position("process-2", NOW, heartbeats));
        assertEquals(new ProcessPosition(1, 0), LiveProcesses.position("process-2", NOW, List.of()));
    }

    /**
     * Two processes on one directory detect each other and share the limit; the second takes it all after the first
     * drained and exited. A foreign file does no harm.
     */
    @Test
    public void processesFollowEachOthersHeartbeatFiles() throws Exception {
        Path directory = Files.createTempDirectory("beats");
        Files.writeString(directory.resolve("process-zzz"), "not ours");
        Files.setLastModifiedTime(directory.resolve("process-zzz"), java.nio.file.attribute.FileTime.fromMillis(5));
        var oldUser = new TestUser();
        var newUser = new TestUser();
        var clock = new AtomicLong(System.currentTimeMillis() * 1000);
        List<ProcessPosition> oldPositions = Collections.synchronizedList(new ArrayList<>());
        List<ProcessPosition> newPositions = Collections.synchronizedList(new ArrayList<>());
        var oldProcess = new HeartbeatFiles(directory, clock::get, oldUser, oldPositions::add);
        oldProcess.start();
        clock.addAndGet(10);
        newUser.inUse = 0;
        var newProcess = new HeartbeatFiles(directory, clock::get, newUser, newPositions::add);
        newProcess.start();
        assertEquals(List.of(new ProcessPosition(2, 1)), newPositions);
        await(oldPositions, new ProcessPosition(2, 0));
        newProcess.awaitCapacity(10_000);
        assertTrue("what the old process uses beyond its share is not available to the new one",
                newUser.quota <= TestUser.LIMIT - oldUser.inUse);
        oldUser.inUse = 0;
        await(() -> oldUser.quota == TestUser.LIMIT / 2 && newUser.quota == TestUser.LIMIT / 2);
        oldUser.draining = true;
        await(() -> newUser.quota >= TestUser.LIMIT * 7 / 8);
        oldProcess.close();
        await(newPositions, new ProcessPosition(1, 0));
        await(() -> newUser.quota == TestUser.LIMIT);
        newProcess.close();
    }

    private static final class TestUser implements QuotaUser {
        static final int LIMIT = 60;
        volatile int inUse = 40;
        volatile int quota;
        volatile boolean draining;

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

    private static void await(List<ProcessPosition> positions, ProcessPosition expected) throws InterruptedException {
        await(() -> positions.contains(expected));
    }

    private static void await(BooleanSupplier condition) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + 10_000_000_000L;
        while (!condition.getAsBoolean()) {
            assertTrue("condition not met within 10 s", System.nanoTime() < deadlineNanos);
            Thread.sleep(10);
        }
    }
}

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

/** How many processes are one gatherer, and which of them each is. */
public class LiveProcessesTest {
    private static final long NOW = 1_000_000_000;

    /** All that see the same signs agree on how many there are, and no two take the same place. */
    @Property
    void placesAreShared(@ForAll @Size(min = 1, max = 4) List<@IntRange(max = 9) Integer> numbers) {
        List<String> names = numbers.stream().distinct().map(n -> "process-" + n).toList();
        List<ProcessHeartbeat> beats = names.stream()
                .map(n -> new ProcessHeartbeat(n, NOW - LiveProcesses.HEARTBEAT_INTERVAL_MICROS, 0, false)).toList();
        var places = new HashSet<Integer>();
        for (String own : names) {
            ProcessPosition t = LiveProcesses.position(own, NOW, beats);
            assertEquals(names.size(), t.count());
            assertTrue(t.index() >= 0 && t.index() < t.count());
            assertTrue(places.add(t.index()));
        }
    }

    @Test
    public void whoGivesNoSignIsGone() {
        List<ProcessHeartbeat> beats = List.of(
                new ProcessHeartbeat("process-1", NOW - LiveProcesses.LIVENESS_TIMEOUT_MICROS, 0, false),
                new ProcessHeartbeat("process-3", NOW - 1, 0, false));
        assertEquals(new ProcessPosition(2, 0), LiveProcesses.position("process-2", NOW, beats));
        assertEquals(new ProcessPosition(1, 0), LiveProcesses.position("process-2", NOW, List.of()));
    }

    /**
     * Two on one directory find each other; one that ends, or that is killed, is missed; strangers' files harm nothing.
     */
    @Test
    public void filesTellOfTheOther() throws Exception {
        Path directory = Files.createTempDirectory("beats");
        Files.writeString(directory.resolve("process-zzz"), "not ours");
        Files.setLastModifiedTime(directory.resolve("process-zzz"), java.nio.file.attribute.FileTime.fromMillis(5));
        var oldOne = new Held();
        var freshOne = new Held();
        var clock = new AtomicLong(System.currentTimeMillis() * 1000);
        List<ProcessPosition> first = Collections.synchronizedList(new ArrayList<>());
        List<ProcessPosition> second = Collections.synchronizedList(new ArrayList<>());
        var old = new HeartbeatFiles(directory, clock::get, oldOne, first::add);
        old.start();
        clock.addAndGet(10);
        freshOne.held = 0;
        var fresh = new HeartbeatFiles(directory, clock::get, freshOne, second::add);
        fresh.start();
        assertEquals(List.of(new ProcessPosition(2, 1)), second);
        await(first, new ProcessPosition(2, 0));
        fresh.awaitCapacity(10_000);
        assertTrue("what it holds beyond its part is not the other's", freshOne.may <= Held.ALL - oldOne.held);
        oldOne.held = 0;
        await(() -> oldOne.may == Held.ALL / 2 && freshOne.may == Held.ALL / 2);
        oldOne.leaving = true;
        await(() -> freshOne.may >= Held.ALL * 7 / 8);
        old.close();
        await(second, new ProcessPosition(1, 0));
        await(() -> freshOne.may == Held.ALL);
        fresh.close();
    }

    private static final class Held implements QuotaUser {
        static final int ALL = 60;
        volatile int held = 40;
        volatile int may;
        volatile boolean leaving;

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

    private static void await(List<ProcessPosition> told, ProcessPosition what) throws InterruptedException {
        await(() -> told.contains(what));
    }

    private static void await(BooleanSupplier came) throws InterruptedException {
        long until = System.nanoTime() + 10_000_000_000L;
        while (!came.getAsBoolean()) {
            assertTrue("never came", System.nanoTime() < until);
            Thread.sleep(10);
        }
    }
}

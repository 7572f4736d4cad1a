package wallmoor.net;

import java.nio.file.Files;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicBoolean;
import wallmoor.migration.http.DirectoryPlanStore;
import wallmoor.migration.http.PlanDocuments;

/**
 * Service while moving against quiet: reads on a schedule, from three real nodes whose disks do 200 MB/s and one thing
 * at a time. Four ways: quiet; moving, giving way to queries; moving with the same bound and without; and a bound below
 * the disk.
 */
public final class MigrationServiceBenchmark {
    private static final int CLIENTS = 4;
    private static final int SECONDS = 9;
    /** What is read before is not counted: programs are warm then. */
    private static final int WARM_SECONDS = 4;
    private static final long PERIOD_NANOS = 40_000_000;
    private static final long AIM_NANOS = 50_000_000;

    private MigrationServiceBenchmark() {}

    /** Prints a line for each way. */
    public static void main(String[] args) throws Exception {
        run("quiet", 0, false);
        run("moving, bound 20 MB/s, gives way", 20, false);
        run("moving, bound 200 MB/s, gives way", 200, false);
        run("moving, bound 200 MB/s, does not", 200, true);
    }

    private static void run(String name, double mbPerSecond, boolean careless) throws Exception {
        var dir = Files.createTempDirectory("wallmoor-moves");
        try (var fleet = new DiskFleet(dir, 20)) {
            fleet.startAll(careless);
            fleet.startCoordinator(mbPerSecond == 0 ? 1 : mbPerSecond);
            Program.await("moving", () -> fleet.status().contains("\"phase\":\"moving\""));
            if (mbPerSecond == 0) {
                fleet.coordinator.destroyForcibly().onExit().join();
            }
            var over = new AtomicBoolean();
            List<Long> took = Collections.synchronizedList(new ArrayList<>());
            var threads = new ArrayList<Thread>();
            for (int i = 0; i < CLIENTS; i++) {
                var random = new Random(i);
                long first = System.nanoTime() + i * PERIOD_NANOS / CLIENTS;
                threads.add(new Thread(() -> {
                    try {
                        for (long at = first; !over.get(); at += PERIOD_NANOS) {
                            long wait = at - System.nanoTime();
                            if (wait > 0) {
                                Thread.sleep(wait / 1_000_000, (int) (wait % 1_000_000));
                            }
                            // counted from when it should have been asked
                            long behind = Math.max(0, System.nanoTime() - at);
                            long nanos = fleet.read(random,
                                    PlanDocuments.decode(new DirectoryPlanStore(fleet.plan).read()));
                            if (at - first > WARM_SECONDS * 1_000_000_000L || nanos < 0) {
                                took.add(nanos < 0 ? Long.MAX_VALUE : nanos + behind);
                            }
                        }
                    } catch (Exception e) {
                        took.add(Long.MAX_VALUE);
                    }
                }));
            }
            long begun = System.nanoTime();
            threads.forEach(Thread::start);
            boolean ended = mbPerSecond > 0
                    && fleet.coordinator.waitFor(SECONDS, java.util.concurrent.TimeUnit.SECONDS);
            if (mbPerSecond == 0) {
                Thread.sleep(SECONDS * 1_000L);
            }
            double seconds = (System.nanoTime() - begun) / 1e9;
            String status = fleet.status();
            over.set(true);
            for (Thread t : threads) {
                t.join(5_000);
            }
            long[] sorted = took.stream().mapToLong(x -> x).sorted().toArray();
            long inTime = took.stream().filter(x -> x <= AIM_NANOS).count();
            System.out.printf(
                    "%-36s %5d reads in %.1f s, within 50 ms %.4f, p50 %.2f ms, p99 %.2f ms, refused or wrong %d, "
                            + "%s, %s%n",
                    name,
                    sorted.length, seconds, (double) inTime / sorted.length, sorted[sorted.length / 2] / 1e6,
                    sorted[sorted.length * 99 / 100] / 1e6, took.stream().filter(x -> x == Long.MAX_VALUE).count(),
                    ended ? "ended" : "still moving", status.replaceAll("\"at_ms.*?moves\":", "")
                            .replaceAll("\"(block|from|to|mb|wave|waits)\":(\"[^\"]*\"|[0-9]+),?", ""));
        }
    }
}

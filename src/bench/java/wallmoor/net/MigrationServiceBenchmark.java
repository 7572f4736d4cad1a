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
 * Compares the read latency during a migration with that of a quiet fleet: reads on a fixed schedule from three real
 * nodes whose disks do 200 MB/s and one operation at a time. Four cases: quiet; migrating with yielding to queries;
 * migrating with the same bandwidth bound, with and without yielding; and a bound below the disk bandwidth.
 */
public final class MigrationServiceBenchmark {
    private static final int CLIENTS = 4;
    private static final int MEASURED_SECONDS = 9;
    /** Reads before this time are not counted, because the programs are still warming up. */
    private static final int WARM_UP_SECONDS = 4;
    private static final long PERIOD_NANOS = 40_000_000;
    private static final long OBJECTIVE_NANOS = 50_000_000;

    private MigrationServiceBenchmark() {}

    /** Prints a line for each case. */
    public static void main(String[] args) throws Exception {
        run("quiet", 0, false);
        run("moving, bound 20 MB/s, gives way", 20, false);
        run("moving, bound 200 MB/s, gives way", 200, false);
        run("moving, bound 200 MB/s, does not", 200, true);
    }

    private static void run(String name, double mbPerSecond, boolean ignoresQueries) throws Exception {
        var directory = Files.createTempDirectory("wallmoor-moves");
        try (var fleet = new DiskFleet(directory, 20)) {
            fleet.startAll(ignoresQueries);
            fleet.startCoordinator(mbPerSecond == 0 ? 1 : mbPerSecond);
            Program.await("moving", () -> fleet.status().contains("\"phase\":\"moving\""));
            if (mbPerSecond == 0) {
                fleet.coordinator.destroyForcibly().onExit().join();
            }
            var isOver = new AtomicBoolean();
            List<Long> latencyNanos = Collections.synchronizedList(new ArrayList<>());
            var threads = new ArrayList<Thread>();
            for (int i = 0; i < CLIENTS; i++) {
                var random = new Random(i);
                long firstNanos = System.nanoTime() + i * PERIOD_NANOS / CLIENTS;
                threads.add(new Thread(() -> {
                    try {
                        for (long scheduledNanos = firstNanos; !isOver.get(); scheduledNanos += PERIOD_NANOS) {
                            long wait = scheduledNanos - System.nanoTime();
                            if (wait > 0) {
                                Thread.sleep(wait / 1_000_000, (int) (wait % 1_000_000));
                            }
                            // latency counts from the scheduled time of the read
                            long delayNanos = Math.max(0, System.nanoTime() - scheduledNanos);
                            long nanos = fleet.read(random,
                                    PlanDocuments.decode(new DirectoryPlanStore(fleet.plan).read()));
                            if (scheduledNanos - firstNanos > WARM_UP_SECONDS * 1_000_000_000L || nanos < 0) {
                                latencyNanos.add(nanos < 0 ? Long.MAX_VALUE : nanos + delayNanos);
                            }
                        }
                    } catch (Exception e) {
                        latencyNanos.add(Long.MAX_VALUE);
                    }
                }));
            }
            long startNanos = System.nanoTime();
            threads.forEach(Thread::start);
            boolean hasEnded = mbPerSecond > 0 && fleet.coordinator.waitFor(MEASURED_SECONDS,
                    java.util.concurrent.TimeUnit.SECONDS);
            if (mbPerSecond == 0) {
                Thread.sleep(MEASURED_SECONDS * 1_000L);
            }
            double seconds = (System.nanoTime() - startNanos) / 1e9;
            String status = fleet.status();
            isOver.set(true);
            for (Thread t : threads) {
                t.join(5_000);
            }
            long[] sorted = latencyNanos.stream().mapToLong(x -> x).sorted().toArray();
            long withinObjective = latencyNanos.stream().filter(x -> x <= OBJECTIVE_NANOS).count();
            System.out.printf(
                    "%-36s %5d reads in %.1f s, within 50 ms %.4f, p50 %.2f ms, p99 %.2f ms, refused or wrong %d, "
                            + "%s, %s%n",
                    name,
                    sorted.length, seconds, (double) withinObjective / sorted.length, sorted[sorted.length / 2] / 1e6,
                    sorted[sorted.length * 99 / 100] / 1e6, latencyNanos.stream().filter(x -> x == Long.MAX_VALUE)
                            .count(),
                    hasEnded ? "ended" : "still moving", status.replaceAll("\"at_ms.*?moves\":", "")
                            .replaceAll("\"(block|from|to|mb|wave|waits)\":(\"[^\"]*\"|[0-9]+),?", ""));
        }
    }
}

package wallmoor.net;

import java.nio.file.Files;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * Measures the time from a proposal until it is fully active at each of five real gatherers, without faults and by the
 * same clock, and the memory and processor time of the gatherers.
 */
public final class RulesRounds {
    private static final int GATHERERS = 5;
    private static final int ROUNDS = 60;
    private static final long TERM_MILLIS = 5_000;

    private RulesRounds() {}

    /** Prints the latencies in milliseconds. */
    public static void main(String[] args) throws Exception {
        var millis = new ArrayList<Double>();
        try (var group = new RulesGroup(Files.createTempDirectory("rounds"), GATHERERS, TERM_MILLIS)) {
            group.all.get(3).propose(1, 20);
            group.awaitAll(1, group.others());
            for (int version = 2; version <= ROUNDS + 1; version++) {
                long startMicros = System.nanoTime() / 1_000;
                group.all.get(4).propose(version, 20);
                group.awaitAll(version, group.others());
                millis.add((group.lastActivation(version) - startMicros) / 1e3);
                Thread.sleep(200);
            }
            for (RulesGroup.RulesGatherer gatherer : group.all) {
                String status = Files.readString(java.nio.file.Path.of("/proc/" + gatherer.process.pid() + "/status"));
                System.out.println("m" + gatherer.number + " "
                        + status.lines().filter(l -> l.startsWith("VmRSS") || l.startsWith("Threads"))
                                .map(l -> l.replaceAll("\\s+", " ")).toList()
                        + " processor seconds "
                        + gatherer.process.info().totalCpuDuration().orElseThrow().toMillis() / 1e3);
            }
        }
        List<Double> sorted = new ArrayList<>(millis);
        Collections.sort(sorted);
        System.out.printf("%d proposals, ms: p50 %.0f, p99 %.0f, least %.0f, most %.0f; looked each %d ms%n", ROUNDS,
                sorted.get(ROUNDS / 2), sorted.get((int) Math.ceil(ROUNDS * 0.99) - 1), sorted.get(0),
                sorted.get(ROUNDS - 1),
                20);
    }
}

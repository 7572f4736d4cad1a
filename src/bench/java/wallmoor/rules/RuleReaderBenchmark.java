package wallmoor.rules;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Threads;
import org.openjdk.jmh.annotations.Warmup;
import wallmoor.rules.LeaseMessage.LeaseGrant;

/**
 * Measures what a query pays to read the effective rule, including the clock, and what a gatherer pays for a lease
 * renewal.
 */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Fork(1)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 4, time = 1)
public class RuleReaderBenchmark {
    private static final RuleDocument DOCUMENT = RuleDocument.of(
            new RuleProposal("settings", 0, "", "a", "{\"limits.open\": 5}", "{}"),
            1);

    private final LeaseHolder holder = new LeaseHolder("h", 1, LeaseTiming.defaults(), DocumentSchemas.all(),
            List.of());
    private volatile RuleSnapshot snapshot;
    private long now;

    @Setup
    public void lease() {
        renewal();
    }

    @Benchmark
    @Threads(2)
    public EffectiveRule acting() {
        return snapshot.effectiveRule(System.nanoTime() / 1_000, "settings");
    }

    @Benchmark
    public RuleSnapshot renewal() {
        now += LeaseTiming.defaults().renewalInterval();
        LeaseMessage.LeaseRequest request = holder.onTick(now);
        holder.onGrant(now, new LeaseGrant("h", 1, request.sequence(),
                List.of(new VersionChain("settings", 1, 1, request.knownVersions().isEmpty() ? List.of(DOCUMENT)
                        : List.of()))));
        snapshot = holder.snapshot();
        return snapshot;
    }
}

package wallmoor.versions;

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
import wallmoor.versions.Message.Grant;

/** What a query pays to learn what it goes by, clock included; and what a gatherer pays for a renewal. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Fork(1)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 4, time = 1)
public class ActingBenchmark {
    private static final Document ONE = Document.of(new Proposal("settings", 0, "", "a", "{\"limits.open\": 5}", "{}"),
            1);

    private final Holder holder = new Holder("h", 1, Terms.usual(), Kinds.all(), List.of());
    private volatile Snapshot last;
    private long now;

    @Setup
    public void lease() {
        renewal();
    }

    @Benchmark
    @Threads(2)
    public Act acting() {
        return last.acting(System.nanoTime() / 1_000, "settings");
    }

    @Benchmark
    public Snapshot renewal() {
        now += Terms.usual().renew();
        Message.Ask ask = holder.onTick(now);
        holder.onGrant(now, new Grant("h", 1, ask.seq(),
                List.of(new Chain("settings", 1, 1, ask.known().isEmpty() ? List.of(ONE) : List.of()))));
        last = holder.snapshot();
        return last;
    }
}

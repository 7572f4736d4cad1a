package wallmoor.endpoints;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import wallmoor.core.WorkerEndpoint;

/** What a change to the roster costs by the fleet's size: one node of the list, and whole news in which one differs. */
@State(Scope.Thread)
@BenchmarkMode(Mode.SampleTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(1)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
public class EndpointRegistryBenchmark {
    @Param({"16", "1000", "10000"})
    private int nodes;

    private EndpointRegistry roster;
    private List<SourceEndpoint> all;
    private long now;
    private int turn;

    /** A fleet that list and DNS agree on, four nodes a cell. */
    @Setup(Level.Trial)
    public void fill() {
        roster = new EndpointRegistry(
                RegistryPolicy.of(List.of(new SourcePolicy("list", true, 0, 1, 20_000),
                        new SourcePolicy("dns", false, 0, 0.2, 20_000))));
        all = new ArrayList<>();
        for (int i = 0; i < nodes; i++) {
            all.add(entry(i, WorkerEndpoint.EndpointState.SERVING));
        }
        roster.apply(now, new WatchEvent.EndpointSnapshot("dns", "0", all, false));
        roster.apply(now, new WatchEvent.EndpointSnapshot("list", "0", all, true));
    }

    private static SourceEndpoint entry(int i, WorkerEndpoint.EndpointState state) {
        return new SourceEndpoint("s-" + i, "10.0." + i / 250 + "." + i % 250 + ":3000", i % 2, 0, i / 4, state, 1, 0,
                0);
    }

    /** A node drains, or comes back, by the list's word. */
    @Benchmark
    public List<EndpointChange> oneDrainsOrReturns() {
        now += 1000;
        turn++;
        return roster.apply(now, new WatchEvent.EndpointDelta("list", "" + turn, List.of(entry(turn / 2 % nodes,
                turn % 2 == 0 ? WorkerEndpoint.EndpointState.SERVING : WorkerEndpoint.EndpointState.DRAINING))));
    }

    /** Whole news as DNS brings it, equal to what is held: the price of a refresh that tells nothing new. */
    @Benchmark
    public List<EndpointChange> aRefreshThatChangesNothing() {
        now += 1000;
        return roster.apply(now, new WatchEvent.EndpointSnapshot("dns", "same", all, false));
    }
}

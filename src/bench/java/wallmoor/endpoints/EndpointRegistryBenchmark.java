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

/**
 * Measures the cost of a change to the endpoint registry by fleet size: a delta with one node of the list, and a full
 * snapshot that changes nothing.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.SampleTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(1)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
public class EndpointRegistryBenchmark {
    @Param({"16", "1000", "10000"})
    private int nodes;

    private EndpointRegistry registry;
    private List<SourceEndpoint> endpoints;
    private long now;
    private int turn;

    /** Fills the registry with a fleet that the list and DNS agree on, four nodes for each cell. */
    @Setup(Level.Trial)
    public void fill() {
        registry = new EndpointRegistry(
                RegistryPolicy.of(List.of(new SourcePolicy("list", true, 0, 1, 20_000),
                        new SourcePolicy("dns", false, 0, 0.2, 20_000))));
        endpoints = new ArrayList<>();
        for (int i = 0; i < nodes; i++) {
            endpoints.add(endpoint(i, WorkerEndpoint.EndpointState.SERVING));
        }
        registry.apply(now, new WatchEvent.EndpointSnapshot("dns", "0", endpoints, false));
        registry.apply(now, new WatchEvent.EndpointSnapshot("list", "0", endpoints, true));
    }

    private static SourceEndpoint endpoint(int i, WorkerEndpoint.EndpointState state) {
        return new SourceEndpoint("s-" + i, "10.0." + i / 250 + "." + i % 250 + ":3000", i % 2, 0, i / 4, state, 1, 0,
                0);
    }

    /** Drains one node, or returns it to service, by a delta from the list. */
    @Benchmark
    public List<EndpointChange> oneDrainsOrReturns() {
        now += 1000;
        turn++;
        return registry.apply(now, new WatchEvent.EndpointDelta("list", "" + turn, List.of(endpoint(turn / 2 % nodes,
                turn % 2 == 0 ? WorkerEndpoint.EndpointState.SERVING : WorkerEndpoint.EndpointState.DRAINING))));
    }

    /** Applies a full DNS snapshot equal to the known state: the cost of a refresh without changes. */
    @Benchmark
    public List<EndpointChange> aRefreshThatChangesNothing() {
        now += 1000;
        return registry.apply(now, new WatchEvent.EndpointSnapshot("dns", "same", endpoints, false));
    }
}

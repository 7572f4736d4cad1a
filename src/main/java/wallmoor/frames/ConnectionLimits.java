package wallmoor.frames;

import java.net.Socket;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import wallmoor.config.LaunchConfig;

/**
 * What the settings say of connections to workers.
 *
 * @param maxInFlight         parts in flight on one connection at most
 * @param connectMillis       a connect that takes longer fails
 * @param idleTimeoutNanos    an idle connection is closed after this time, before its worker would
 * @param silenceTimeoutNanos a connection on which nothing has come for this long since a part was written is silent
 * @param maxConnections      to all workers together
 * @param sockets             makes the socket of each connection
 * @param onConnectResult     told of each connection that came up or did not, with the worker's id
 */
public record ConnectionLimits(int maxInFlight, int connectMillis, long idleTimeoutNanos, long silenceTimeoutNanos,
        int maxConnections, Supplier<Socket> sockets, BiConsumer<String, Boolean> onConnectResult) {
    /** An idle connection is closed this much before its worker would (milliseconds), or after half that time. */
    private static final long IDLE_MARGIN_MILLIS = 1_500;
    /** A connection is silent after the shortest latency objective over this: the policy calls a part late then. */
    private static final int SILENCE_SHARE = 5;
    private static final long DEFAULT_OBJECTIVE_MICROS = 1_000_000;

    /** What a configuration says. */
    public static ConnectionLimits of(LaunchConfig launch, Supplier<Socket> sockets,
            BiConsumer<String, Boolean> onConnectResult) {
        long workerTimeout = launch.connIdleMillis();
        long idleTimeout = Math.max(workerTimeout / 2, workerTimeout - IDLE_MARGIN_MILLIS);
        long silenceTimeout = TimeUnit.MICROSECONDS.toNanos(shortestObjective(launch)) / SILENCE_SHARE;
        return new ConnectionLimits(launch.streamsPerConnection(), launch.connectMillis(),
                TimeUnit.MILLISECONDS.toNanos(idleTimeout), silenceTimeout, launch.maxWorkerConnections(), sockets,
                onConnectResult);
    }

    /** The shortest latency objective of a class (microseconds). */
    private static long shortestObjective(LaunchConfig launch) {
        long shortest = Long.MAX_VALUE;
        for (var queryClass : launch.settings().classes()) {
            shortest = Math.min(shortest, queryClass.latencyObjective());
        }
        return shortest == Long.MAX_VALUE ? DEFAULT_OBJECTIVE_MICROS : shortest;
    }
}

package wallmoor.frames;

import java.net.Socket;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import wallmoor.config.LaunchConfig;

/**
 * The limits and callbacks of connections to workers.
 *
 * @param maxInFlight         the maximum number of parts in flight on one connection
 * @param connectMillis       the timeout of a connect
 * @param idleTimeoutNanos    the time after which an idle connection is closed, shorter than the worker's own timeout
 * @param silenceTimeoutNanos the time without an answer after a part was written that makes a connection silent
 * @param maxConnections      the maximum number of connections to all workers together
 * @param sockets             creates the socket of each connection
 * @param onConnectResult     receives the worker's id and whether the connect succeeded, for each connect
 */
public record ConnectionLimits(int maxInFlight, int connectMillis, long idleTimeoutNanos, long silenceTimeoutNanos,
        int maxConnections, Supplier<Socket> sockets, BiConsumer<String, Boolean> onConnectResult) {
    /**
     * An idle connection is closed this long before the worker would close it, but not before half of the worker's
     * timeout.
     */
    private static final long IDLE_MARGIN_MILLIS = 1_500;
    /**
     * The silence timeout is the shortest latency objective divided by this: the routing policy considers a part late
     * after that time.
     */
    private static final int SILENCE_TIMEOUT_DIVISOR = 5;
    private static final long DEFAULT_OBJECTIVE_MICROS = 1_000_000;

    /** Returns the limits that a configuration defines. */
    public static ConnectionLimits of(LaunchConfig launch, Supplier<Socket> sockets,
            BiConsumer<String, Boolean> onConnectResult) {
        long workerTimeoutMillis = launch.connIdleMillis();
        long idleTimeoutMillis = Math.max(workerTimeoutMillis / 2, workerTimeoutMillis - IDLE_MARGIN_MILLIS);
        long silenceTimeoutNanos = TimeUnit.MICROSECONDS.toNanos(shortestObjectiveMicros(launch))
                / SILENCE_TIMEOUT_DIVISOR;
        return new ConnectionLimits(launch.streamsPerConnection(), launch.connectMillis(),
                TimeUnit.MILLISECONDS.toNanos(idleTimeoutMillis), silenceTimeoutNanos, launch.maxWorkerConnections(),
                sockets, onConnectResult);
    }

    /** Returns the shortest latency objective of all classes, in microseconds. */
    private static long shortestObjectiveMicros(LaunchConfig launch) {
        long shortestMicros = Long.MAX_VALUE;
        for (var queryClass : launch.settings().classes()) {
            shortestMicros = Math.min(shortestMicros, queryClass.latencyObjective());
        }
        return shortestMicros == Long.MAX_VALUE ? DEFAULT_OBJECTIVE_MICROS : shortestMicros;
    }
}

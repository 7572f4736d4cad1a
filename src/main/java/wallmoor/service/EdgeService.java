package wallmoor.service;

import java.io.IOException;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wallmoor.config.EdgeConfig;
import wallmoor.config.LaunchConfig;
import wallmoor.core.MonotonicClock;
import wallmoor.edge.Devices;
import wallmoor.edge.EdgeQueries;
import wallmoor.edge.coap.EdgeCoap;
import wallmoor.edge.http.EdgeHttp;
import wallmoor.idempotency.IdempotencyLimits;

/**
 * The edge: HTTP and CoAP fronts of one {@link EdgeQueries}, which uses the calendar nodes' gatherer and connections.
 */
final class EdgeService {
    private static final int MAX_OUTCOME_BYTES = 64 * 1024;
    private static final long MICROS_PER_MILLI = 1000;
    private static final int UPLOAD_IDLE_TIMEOUT_MILLIS = 60_000;
    private static final int MIN_RETRY_AFTER_MILLIS = 1_000;
    private static final int MAX_RETRY_AFTER_MILLIS = 30_000;

    private final Logger log = LoggerFactory.getLogger(EdgeService.class);
    private final EdgeConfig config;
    private final Devices devices;
    private final EdgeQueries queries;
    private final EdgeHttp http;
    private final EdgeCoap coap;

    EdgeService(EdgeConfig config, LaunchConfig launch, Supplier<LaunchConfig> current, MonotonicClock clock,
            CalendarNodes nodes)
            throws IOException {
        this.config = config;
        devices = new Devices(config.devices());
        var limits = new IdempotencyLimits(config.graceMillis() * MICROS_PER_MILLI,
                config.retainMillis() * MICROS_PER_MILLI,
                config.windowMillis() * MICROS_PER_MILLI, config.skewMillis() * MICROS_PER_MILLI,
                UPLOAD_IDLE_TIMEOUT_MILLIS * MICROS_PER_MILLI, config.openPerDevice(), config.open(), Integer.MAX_VALUE,
                config.memoryBytes(), config.memoryPerDeviceBytes(), MAX_OUTCOME_BYTES, config.requestsPerSecond(),
                config.requestBurst(),
                config.returnsPerSecond(), MIN_RETRY_AFTER_MILLIS * MICROS_PER_MILLI,
                MAX_RETRY_AFTER_MILLIS * MICROS_PER_MILLI);
        queries = new EdgeQueries(limits, current, nodes.gatherer(), nodes.workers(), clock);
        http = config.http() == null ? null
                : new EdgeHttp(config.http(), config.maxHttpClients(), current, queries, devices, log::info);
        coap = config.coap() == null ? null : new EdgeCoap(config.coap(), current, queries, devices);
    }

    void start() {
        devices.start();
        queries.start();
        if (http != null) {
            http.start();
            log.info("edge listening: protocol=http address={}", config.http());
        }
        if (coap != null) {
            coap.start();
            log.info("edge listening: protocol=coap address={}", config.coap());
        }
    }

    /** Accepts requests during the hand-over time, then answers the open ones within the finishing time. */
    void shutDown(long handOverMillis, long finishMillis) throws IOException, InterruptedException {
        queries.shutDown(handOverMillis + finishMillis);
        var coapThread = new Thread(() -> {
            try {
                if (coap != null) {
                    coap.shutDown(handOverMillis + finishMillis);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }, "leave-coap");
        coapThread.start();
        if (http != null) {
            http.shutDown(handOverMillis, finishMillis);
        }
        coapThread.join();
        var usage = queries.usage();
        log.info("edge shut down, its retained outcomes are lost with this process: openQueries={}"
                + " retainedOutcomes={}", usage.open(), usage.retained());
    }
}

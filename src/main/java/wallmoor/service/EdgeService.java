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

/** The edge: two wires, one {@link EdgeQueries} behind them, on the calendar nodes' gatherer and connections. */
final class EdgeService {
    private static final int MOST_OUTCOME = 64 * 1024;
    private static final long MICROS = 1000;

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
        var rules = new IdempotencyLimits(config.graceMillis() * MICROS, config.retainMillis() * MICROS,
                config.windowMillis() * MICROS,
                config.skewMillis() * MICROS, 60_000 * MICROS, config.openPerDevice(), config.open(), Integer.MAX_VALUE,
                config.memoryBytes(), config.memoryPerDeviceBytes(), MOST_OUTCOME, config.requestsPerSecond(),
                config.requestBurst(), config.returnsPerSecond(),
                1_000 * MICROS, 30_000 * MICROS);
        queries = new EdgeQueries(rules, current, nodes.gatherer(), nodes.workers(), clock);
        http = config.http() == null ? null
                : new EdgeHttp(config.http(), config.maxHttpClients(), current, queries, devices, log::info);
        coap = config.coap() == null ? null : new EdgeCoap(config.coap(), current, queries, devices);
    }

    void start() {
        devices.start();
        queries.start();
        if (http != null) {
            http.start();
            log.info("edge on http {}", config.http());
        }
        if (coap != null) {
            coap.start();
            log.info("edge on coap {}", config.coap());
        }
    }

    /** Takes and answers for so long what comes; what is out is answered before the end. */
    void leave(long handOverMillis, long finishMillis) throws IOException, InterruptedException {
        queries.shutDown(handOverMillis + finishMillis);
        var second = new Thread(() -> {
            try {
                if (coap != null) {
                    coap.leave(handOverMillis + finishMillis);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }, "leave-coap");
        second.start();
        if (http != null) {
            http.leave(handOverMillis, finishMillis);
        }
        second.join();
        var held = queries.usage();
        log.info("edge left with {} queries out and {} outcomes that are not kept beyond this process", held.open(),
                held.retained());
    }
}

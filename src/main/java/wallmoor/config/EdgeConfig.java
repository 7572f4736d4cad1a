package wallmoor.config;

import java.net.InetSocketAddress;
import java.nio.file.Path;

/**
 * The section {@code edge} of the operators' file: the front for devices on poor links. Times are milliseconds.
 *
 * @param devices     the file of devices
 * @param http        where HTTP/1.1 is spoken, or null
 * @param maxHttpClients connections by HTTP at most: each that waits has two threads
 * @param coap        where CoAP is spoken, or null
 * @param graceMillis       a query that may repeat is cancelled when nobody has waited for it for so long
 * @param retainMillis      the outcome of such a query is kept for so long
 * @param windowMillis      the outcome of one that may not repeat is kept until its id is so old
 * @param skewMillis        devices' clocks may be off by so much
 * @param open        queries without an outcome at most
 * @param openPerDevice    ... of one device
 * @param memoryBytes      bytes for outcomes and uploads
 * @param memoryPerDeviceBytes  ... of one device
 * @param requestsPerSecond        asks a second that a device may go on making
 * @param requestBurst       asks that it may make at once
 * @param returnsPerSecond     devices a second that are told to come back
 */
public record EdgeConfig(Path devices, InetSocketAddress http, int maxHttpClients, InetSocketAddress coap,
        long graceMillis, long retainMillis, long windowMillis, long skewMillis, int open, int openPerDevice,
        long memoryBytes, long memoryPerDeviceBytes, double requestsPerSecond, int requestBurst,
        double returnsPerSecond) {
    private static final long DAY_MILLIS = 86_400_000;
    private static final long MB = 1 << 20;

    static EdgeConfig of(ConfigSection section, Path folder) {
        boolean on = section.flag("enabled", true);
        Path devices = folder.resolve(section.requiredText("devices"));
        ConfigSection http = section.section("http");
        InetSocketAddress httpAt = http.address("listen");
        int clients = http.integer("most_clients", 1000, 1, 20_000);
        http.reportUnknownKeys();
        ConfigSection coap = section.section("coap");
        InetSocketAddress coapAt = coap.address("listen");
        coap.reportUnknownKeys();
        if (httpAt == null && coapAt == null) {
            section.addFault("http", "neither http.listen nor coap.listen is there");
        }
        int open = section.integer("open", 2000, 1, 20_000);
        var config = new EdgeConfig(devices, httpAt, clients, coapAt,
                section.durationMillis("grace", 5_000, 0, 600_000),
                section.durationMillis("retain", 600_000, 1_000, DAY_MILLIS),
                section.durationMillis("window", DAY_MILLIS, 1_000, 30 * DAY_MILLIS),
                section.durationMillis("skew", 5_000, 0, 3_600_000), open,
                section.integer("open_per_device", Math.min(16, open), 1, open),
                MB * section.integer("memory_mb", 64, 1, 16_384),
                MB * section.integer("memory_per_device_mb", 4, 1, 16_384),
                section.decimal("asks_per_s", 5, 0.01, 10_000), section.integer("ask_burst", 40, 1, 10_000),
                section.decimal("returns_per_s", 200, 0.1, 1_000_000));
        if (config.memoryPerDeviceBytes > config.memoryBytes) {
            section.addFault("memory_per_device_mb", "is more than memory_mb");
        }
        section.reportUnknownKeys();
        return on ? config : null;
    }
}

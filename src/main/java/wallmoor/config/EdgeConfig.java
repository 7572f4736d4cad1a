package wallmoor.config;

import java.net.InetSocketAddress;
import java.nio.file.Path;

/**
 * The section {@code edge} of the operators' file: the front for devices on unreliable links. Durations are in
 * milliseconds.
 *
 * @param devices              the file that lists the devices
 * @param http                 the address for HTTP/1.1, or null
 * @param maxHttpClients       the maximum number of HTTP connections; each one with a waiting request takes two threads
 * @param coap                 the address for CoAP, or null
 * @param graceMillis          the time without a waiting client after which a repeatable query is cancelled
 * @param retainMillis         how long the outcome of a repeatable query is retained
 * @param windowMillis         the age of the id up to which the outcome of a query that must not repeat is retained
 * @param skewMillis           the tolerated difference of the devices' clocks
 * @param open                 the maximum number of queries without an outcome
 * @param openPerDevice        the same for one device
 * @param memoryBytes          the maximum memory for outcomes and uploads
 * @param memoryPerDeviceBytes the same for one device
 * @param requestsPerSecond    the sustained request rate of one device
 * @param requestBurst         the number of requests that a device may make at once
 * @param returnsPerSecond     how many devices per second are told to come back
 */
public record EdgeConfig(Path devices, InetSocketAddress http, int maxHttpClients, InetSocketAddress coap,
        long graceMillis, long retainMillis, long windowMillis, long skewMillis, int open, int openPerDevice,
        long memoryBytes, long memoryPerDeviceBytes, double requestsPerSecond, int requestBurst,
        double returnsPerSecond) {
    private static final long DAY_MILLIS = 86_400_000;
    private static final long BYTES_PER_MB = 1 << 20;

    /** Reads the section; returns null where it is disabled. Faults are recorded in the section. */
    static EdgeConfig of(ConfigSection section, Path folder) {
        boolean isEnabled = section.flag("enabled", true);
        Path devices = folder.resolve(section.requiredText("devices"));
        ConfigSection http = section.section("http");
        InetSocketAddress httpAddress = http.address("listen");
        int maxHttpClients = http.integer("most_clients", 1000, 1, 20_000);
        http.reportUnknownKeys();
        ConfigSection coap = section.section("coap");
        InetSocketAddress coapAddress = coap.address("listen");
        coap.reportUnknownKeys();
        if (httpAddress == null && coapAddress == null) {
            section.addFault("http", "has no valid listen address, and coap has none either");
        }
        int open = section.integer("open", 2000, 1, 20_000);
        var config = new EdgeConfig(devices, httpAddress, maxHttpClients, coapAddress,
                section.durationMillis("grace", 5_000, 0, 600_000),
                section.durationMillis("retain", 600_000, 1_000, DAY_MILLIS),
                section.durationMillis("window", DAY_MILLIS, 1_000, 30 * DAY_MILLIS),
                section.durationMillis("skew", 5_000, 0, 3_600_000), open,
                section.integer("open_per_device", Math.min(16, open), 1, open),
                BYTES_PER_MB * section.integer("memory_mb", 64, 1, 16_384),
                BYTES_PER_MB * section.integer("memory_per_device_mb", 4, 1, 16_384),
                section.decimal("asks_per_s", 5, 0.01, 10_000), section.integer("ask_burst", 40, 1, 10_000),
                section.decimal("returns_per_s", 200, 0.1, 1_000_000));
        if (config.memoryPerDeviceBytes > config.memoryBytes) {
            section.addFault("memory_per_device_mb", "is more than memory_mb");
        }
        section.reportUnknownKeys();
        return isEnabled ? config : null;
    }
}

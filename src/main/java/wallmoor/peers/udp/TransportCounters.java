package wallmoor.peers.udp;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;

/**
 * The counters of the group's I/O since its start, by name. Counting takes no lock. The registry is not shared, so that
 * no other code adds metrics to it or clears it.
 */
final class TransportCounters {
    private final MetricRegistry registry = new MetricRegistry();

    /** Returns the counter of this name; the first call creates it. */
    Counter counter(String name) {
        return registry.counter(name);
    }

    /** Adds a value that is counted elsewhere; it is read for each snapshot. */
    void gauge(String name, LongSupplier value) {
        registry.registerGauge(name, (Gauge<Long>) value::getAsLong);
    }

    /** Returns the current values of all counters and gauges by name. */
    Map<String, Long> snapshot() {
        var values = new TreeMap<String, Long>();
        registry.getCounters().forEach((name, counter) -> values.put(name, counter.getCount()));
        registry.getGauges().forEach((name, gauge) -> values.put(name, (Long) gauge.getValue()));
        return values;
    }
}

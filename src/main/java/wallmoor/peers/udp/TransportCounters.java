package wallmoor.peers.udp;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;

/**
 * What the group's I/O has counted since its start, by name. Counting takes no lock; a registry of its own, as nobody
 * else may add to it or empty it.
 */
final class TransportCounters {
    private final MetricRegistry registry = new MetricRegistry();

    /** The counter of this name, made when it is first asked for. */
    Counter counter(String name) {
        return registry.counter(name);
    }

    /** Counts what is counted elsewhere: asked for when the counters are. */
    void gauge(String name, LongSupplier value) {
        registry.registerGauge(name, (Gauge<Long>) value::getAsLong);
    }

    /** All of them, by name. */
    Map<String, Long> all() {
        var all = new TreeMap<String, Long>();
        registry.getCounters().forEach((name, counter) -> all.put(name, counter.getCount()));
        registry.getGauges().forEach((name, gauge) -> all.put(name, (Long) gauge.getValue()));
        return all;
    }
}

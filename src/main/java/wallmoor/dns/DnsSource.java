package wallmoor.dns;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wallmoor.config.LaunchConfig;
import wallmoor.config.OperatorConfig.Dns;
import wallmoor.config.OperatorConfig.DnsName;
import wallmoor.endpoints.SourceEndpoint;
import wallmoor.endpoints.WatchEvent;
import wallmoor.sources.EndpointSource;
import wallmoor.threads.Threads;

/**
 * One service in DNS as a source of endpoints. It is looked up before its records expire, and more often while
 * endpoints are missing. One thread looks up and waits; other threads call only {@link #reload}.
 */
public final class DnsSource implements EndpointSource {
    /** The timeout of a look-up with all its targets. */
    private static final long LOOKUP_TIMEOUT_MILLIS = 10_000;
    private static final long MIN_BACKOFF_MILLIS = 1_000;
    private static final long MAX_BACKOFF_MILLIS = 30_000;
    /** Limits the shift; {@code MAX_BACKOFF_MILLIS} is reached earlier. */
    private static final int MAX_DOUBLINGS = 10;
    /** The longest wait while endpoints are missing, so that it is soon known whether they stay missing. */
    private static final long SHRUNK_POLL_MILLIS = 5_000;
    /** Cached answers per SRV record: the SRV record, and the address and TXT record of its target. */
    private static final int ANSWERS_PER_RECORD = 3;

    /** The resolver of one configuration, with its cache. */
    private record Lookups(Dns dns, TtlPolicy ttls, ServiceResolver services) {
        static Lookups of(Dns dns) {
            var ttls = new TtlPolicy(dns.minTtlMillis(), dns.maxTtlMillis(), dns.maxAgeMillis());
            var resolver = new StubResolver(dns.servers(), ttls, dns.timeoutMillis(),
                    ANSWERS_PER_RECORD * dns.maxRecords(),
                    OneTimeLookup::clock);
            return new Lookups(dns, ttls,
                    new ServiceResolver(resolver, dns.maxRecords(), true, OneTimeLookup::clock));
        }
    }

    private final Logger log = LoggerFactory.getLogger(DnsSource.class);
    private final DnsName service;
    private final TargetMapper mapper;
    private final RandomGenerator random;
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition reloaded = lock.newCondition();
    private volatile Dns dns;
    private int failures;
    /** The recent number of endpoints; see {@link #pollAfter}. */
    private int usualEndpoints;
    private int lookups;
    private List<String> lastFaults = List.of();

    /** Creates the source for {@code service}, one of the names in {@code dns}. */
    public DnsSource(Dns dns, DnsName service, LaunchConfig launch) {
        this.dns = dns;
        this.service = service;
        mapper = new TargetMapper(launch.settings().layout().cells(), launch.zones(), launch.kinds());
        random = RandomGenerator.getDefault();
    }

    /** Returns the name of the source for a service. */
    public static String nameOf(DnsName service) {
        return "dns " + service.name();
    }

    @Override
    public String name() {
        return nameOf(service);
    }

    /** Replaces the configuration of servers and times; if it differs, looks up the service at once. */
    public void reload(Dns newDns) {
        if (newDns.equals(dns)) {
            return;
        }
        lock.lock();
        try {
            dns = newDns;
            reloaded.signal();
        } finally {
            lock.unlock();
        }
    }

    @Override
    public void start(Consumer<WatchEvent> listener) {
        Threads.startEssential("dns-" + service.name(), () -> run(listener));
    }

    private void run(Consumer<WatchEvent> listener) {
        Lookups current = null;
        while (true) {
            Dns configured = dns;
            if (current == null || !configured.equals(current.dns())) {
                current = Lookups.of(configured);
            }
            long wait;
            try {
                wait = lookUp(current, listener);
            } catch (RuntimeException e) {
                log.error("DNS look-up failed unexpectedly: source={}", name(), e);
                wait = MAX_BACKOFF_MILLIS;
            }
            if (!awaitReload(configured, wait)) {
                return;
            }
        }
    }

    /** Waits for a change of configuration or the timeout; returns false if the thread was interrupted. */
    @SuppressWarnings("WaitNotInLoop") // a spurious wake-up causes only an extra look-up
    private boolean awaitReload(Dns used, long millis) {
        lock.lock();
        try {
            if (dns.equals(used)) {
                reloaded.await(millis, TimeUnit.MILLISECONDS);
            }
            return true;
        } catch (InterruptedException e) {
            return false;
        } finally {
            lock.unlock();
        }
    }

    /** Looks up the service, reports the result, and returns the milliseconds until the next look-up. */
    private long lookUp(Lookups current, Consumer<WatchEvent> listener) {
        ServiceLookup lookup = current.services().find(service.name(), LOOKUP_TIMEOUT_MILLIS);
        if (lookup instanceof ServiceLookup.ServiceLookupFailure failure) {
            log.warn("DNS look-up failed: source={} reason={}", name(), failure.reason());
            listener.accept(new WatchEvent.SourceFailure(name(), failure.reason()));
            return current.ttls().refreshAfterMillis(backoff(), random.nextDouble());
        }
        failures = 0;
        lookups++;
        String version = "look-up " + lookups;
        int endpoints = 0;
        long ttl;
        if (lookup instanceof ServiceLookup.Resolved resolved) {
            endpoints = reportResolved(resolved, version, listener);
            ttl = resolved.ttlMillis();
        } else if (lookup instanceof ServiceLookup.NotOffered notOffered) {
            report(version + ", the service is not offered", List.of(), true, listener);
            usualEndpoints = 0;
            ttl = notOffered.ttlMillis();
        } else {
            var none = (ServiceLookup.NoService) lookup;
            log.warn("DNS has no SRV records for the service: source={} reason={}", name(), none.reason());
            report(version + " (" + none.reason() + ")", List.of(), false, listener);
            ttl = none.ttlMillis();
        }
        return current.ttls().refreshAfterMillis(pollAfter(endpoints, ttl, current.ttls()), random.nextDouble());
    }

    private long backoff() {
        long backoff = MIN_BACKOFF_MILLIS << Math.min(failures, MAX_DOUBLINGS);
        failures++;
        return Math.min(MAX_BACKOFF_MILLIS, backoff);
    }

    /**
     * Returns the time until the next look-up: the TTL, or less while there are fewer endpoints than usual. The usual
     * number falls by one per look-up, as the fleet may have shrunk for good.
     */
    private long pollAfter(int endpoints, long ttlMillis, TtlPolicy ttls) {
        usualEndpoints = Math.max(endpoints, usualEndpoints - 1);
        long wait = endpoints < usualEndpoints ? Math.min(ttlMillis, SHRUNK_POLL_MILLIS) : ttlMillis;
        return Math.min(wait, ttls.maxTtlMillis());
    }

    private int reportResolved(ServiceLookup.Resolved resolved, String version, Consumer<WatchEvent> listener) {
        var faults = new ArrayList<>(resolved.faults());
        List<SourceEndpoint> endpoints = mapper.endpoints(resolved.targets(), service.cell(), faults);
        if (!faults.equals(lastFaults)) { // logged only when they change
            for (String fault : faults) {
                log.warn("DNS records are faulty: source={} fault={}", name(), fault);
            }
            lastFaults = faults;
        }
        report(version, endpoints, false, listener);
        return endpoints.size();
    }

    private void report(String version, List<SourceEndpoint> endpoints, boolean authoritative,
            Consumer<WatchEvent> listener) {
        listener.accept(new WatchEvent.EndpointSnapshot(name(), version, endpoints, authoritative));
    }
}

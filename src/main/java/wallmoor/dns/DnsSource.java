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
import wallmoor.http.Threads;
import wallmoor.sources.EndpointSource;

/**
 * One service in DNS as a source of nodes: looked up before its records run out, and sooner while it seems to shrink.
 */
public final class DnsSource implements EndpointSource {
    /** A whole look-up with all its targets takes no longer. */
    private static final long LONGEST_LOOKUP = 10_000;
    private static final long FIRST_RETRY = 1_000;
    private static final long MOST_RETRY = 30_000;
    /** While nodes are missing: so that it is soon known whether they stay missing. */
    private static final long DOUBT = 5_000;

    private final Logger log = LoggerFactory.getLogger(DnsSource.class);
    private final DnsName service;
    private final LaunchConfig launch;
    private final TargetMapper nodes;
    private final RandomGenerator random;
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition changed = lock.newCondition();
    private volatile Dns dns;
    private int failures;
    private int most;
    private int version;
    private List<String> told = List.of();

    /** The source for one of the names in {@code dns}. */
    public DnsSource(Dns dns, DnsName service, LaunchConfig launch) {
        this.dns = dns;
        this.service = service;
        this.launch = launch;
        nodes = new TargetMapper(launch.settings().layout().cells(), launch.zones(), launch.kinds());
        random = RandomGenerator.getDefault();
    }

    /** The source's name for one of the names. */
    public static String nameOf(DnsName service) {
        return "dns " + service.name();
    }

    @Override
    public String name() {
        return nameOf(service);
    }

    /** The servers and times are these from now on; the service is looked up at once. */
    public void reload(Dns other) {
        if (other.equals(dns)) {
            return;
        }
        lock.lock();
        try {
            dns = other;
            changed.signal();
        } finally {
            lock.unlock();
        }
    }

    @Override
    public void start(Consumer<WatchEvent> to) {
        Threads.start("dns-" + service.name(), () -> run(to));
    }

    private void run(Consumer<WatchEvent> to) {
        Dns held = null;
        ServiceResolver services = null;
        TtlPolicy lifetimes = null;
        while (true) {
            Dns now = dns;
            if (now != held) {
                lifetimes = new TtlPolicy(now.leastTtl(), now.mostTtl(), now.mostAge());
                var resolver = new StubResolver(now.servers(), lifetimes, now.timeout(), 3 * now.mostRecords(),
                        OneTimeLookup::clock);
                services = new ServiceResolver(resolver, now.mostRecords(), true, OneTimeLookup::clock);
                held = now;
            }
            long wait;
            try {
                wait = look(services, lifetimes, to);
            } catch (RuntimeException e) {
                log.error("{}: look-up failed", name(), e);
                wait = MOST_RETRY;
            }
            lock.lock();
            try {
                if (dns == held) {
                    changed.await(wait, TimeUnit.MILLISECONDS);
                }
            } catch (InterruptedException e) {
                return;
            } finally {
                lock.unlock();
            }
        }
    }

    /** Looks it up, tells what came of it, and returns after how long to do so again. */
    private long look(ServiceResolver services, TtlPolicy lifetimes, Consumer<WatchEvent> to) {
        ServiceResolver.ServiceLookup result = services.find(service.name(), LONGEST_LOOKUP);
        if (result instanceof ServiceResolver.ServiceLookup.ServiceLookupFailure failed) {
            log.warn("{}: {}", name(), failed.reason());
            to.accept(new WatchEvent.SourceFailure(name(), failed.reason()));
            long retry = Math.min(MOST_RETRY, FIRST_RETRY << Math.min(failures++, 10));
            return lifetimes.refreshAfterMillis(retry, random.nextDouble());
        }
        failures = 0;
        String at = "look-up " + ++version;
        List<SourceEndpoint> entries = new ArrayList<>();
        long lifetime;
        if (result instanceof ServiceResolver.ServiceLookup.Resolved offered) {
            var faults = new ArrayList<>(offered.faults());
            entries = nodes.of(offered.targets(), service.cell(), faults);
            if (!faults.equals(told)) { // each once, and again when others come
                faults.forEach(f -> log.warn("{}: {}", name(), f));
                told = faults;
            }
            lifetime = offered.ttlMillis();
            to.accept(new WatchEvent.EndpointSnapshot(name(), at, entries, false));
        } else if (result instanceof ServiceResolver.ServiceLookup.NotOffered not) {
            lifetime = not.ttlMillis();
            to.accept(new WatchEvent.EndpointSnapshot(name(), at + ", the service is not offered", List.of(), true));
            most = 0;
        } else {
            var none = (ServiceResolver.ServiceLookup.NoService) result;
            log.warn("{}: {}", name(), none.reason());
            lifetime = none.ttlMillis();
            to.accept(new WatchEvent.EndpointSnapshot(name(), at + " (" + none.reason() + ")", List.of(), false));
        }
        most = Math.max(entries.size(), most - 1); // fades, so that a fleet that has shrunk is not doubted for ever
        long wait = entries.size() < most ? Math.min(lifetime, DOUBT) : lifetime;
        return lifetimes.refreshAfterMillis(Math.min(wait, lifetimes.maxTtlMillis()), random.nextDouble());
    }
}

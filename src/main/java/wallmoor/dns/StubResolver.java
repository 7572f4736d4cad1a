package wallmoor.dns;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Flags;
import org.xbill.DNS.Message;
import org.xbill.DNS.Name;
import org.xbill.DNS.OPTRecord;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Record;
import org.xbill.DNS.SRVRecord;
import org.xbill.DNS.Section;

/**
 * A small stub resolver over UDP and TCP. The message codec is dnsjava's; which server is asked and how often, what of
 * its answer is believed and for how long is decided here and in the classes beside it. Safe for threads.
 */
public final class StubResolver {
    /** What fits a packet on every usual path without fragments (the figure of DNS Flag Day 2020). */
    private static final int UDP_PAYLOAD = 1232;
    /** Each server is tried so often for a question. */
    private static final int ROUNDS = 2;

    private final Logger log = LoggerFactory.getLogger(StubResolver.class);
    private final NameServers servers;
    private final DnsCache cache;
    private final long timeout;
    private final LongSupplier clock;
    private final SecureRandom random = new SecureRandom();

    /**
     * Makes a resolver.
     *
     * @param timeout milliseconds for one try at one server
     * @param clock   milliseconds that never go back
     */
    StubResolver(List<InetSocketAddress> addresses, TtlPolicy lifetimes, long timeout, int cached, LongSupplier clock) {
        servers = new NameServers(addresses);
        cache = new DnsCache(lifetimes, cached);
        this.timeout = timeout;
        this.clock = clock;
    }

    /**
     * Looks up, from the cache while that is good. Gives up at {@code deadline}, on this resolver's clock.
     *
     * @param anew servers are asked, whatever the cache holds
     */
    RecordLookup find(Name name, int type, long deadline, boolean anew) {
        RecordLookup fresh = cache.fresh(clock.getAsLong(), name, type);
        if (fresh != null && !anew) {
            return fresh;
        }
        RecordLookup found = ask(name, type, deadline);
        if (found instanceof RecordLookup.LookupFailure failure) {
            RecordLookup stale = cache.stale(clock.getAsLong(), name, type);
            if (stale != null) {
                log.warn("{}: {}; the last answer stands in", name, failure.reason());
                return stale;
            }
        }
        return found;
    }

    private RecordLookup ask(Name name, int type, long deadline) {
        Name at = name;
        Set<Name> passed = new HashSet<>();
        while (true) {
            DnsResponse reply = askServers(at, type, deadline);
            long now = clock.getAsLong();
            if (reply instanceof DnsResponse.PositiveAnswer good) {
                takeExtra(now, good);
                return cache.put(now, name, type, good.records(), good.ttl());
            }
            if (reply instanceof DnsResponse.NegativeAnswer absent) {
                return cache.putNegative(now, name, type, absent);
            }
            if (!(reply instanceof DnsResponse.Alias alias)) {
                return new RecordLookup.LookupFailure(((DnsResponse.ServerFailure) reply).why());
            }
            if (!passed.add(at) || passed.contains(alias.target()) || passed.size() > DnsResponse.MOST_ALIASES) {
                return new RecordLookup.LookupFailure(
                        "a loop of CNAME records, or more than " + DnsResponse.MOST_ALIASES);
            }
            at = alias.target();
        }
    }

    /** Addresses that came along are believed only for the targets that the same answer names. */
    private void takeExtra(long now, DnsResponse.PositiveAnswer good) {
        Set<Name> targets = new HashSet<>();
        good.records().forEach(r -> {
            if (r instanceof SRVRecord srv) {
                targets.add(srv.getTarget());
            }
        });
        for (Name target : targets) {
            for (int type : List.of(org.xbill.DNS.Type.A, org.xbill.DNS.Type.AAAA)) {
                List<Record> own = good.extra().stream()
                        .filter(r -> r.getType() == type && r.getName().equals(target)).toList();
                if (!own.isEmpty()) {
                    cache.put(now, target, type, own, own.stream().mapToLong(Record::getTTL).min().orElse(0));
                }
            }
        }
    }

    /** Asks one server after another until one gives an answer that is of use. */
    private DnsResponse askServers(Name name, int type, long deadline) {
        var why = new ArrayList<String>();
        for (int round = 0; round < ROUNDS; round++) {
            Set<InetSocketAddress> tried = new HashSet<>();
            for (int i = 0; i < servers.count(); i++) {
                long now = clock.getAsLong();
                long left = Math.min(timeout, deadline - now);
                if (left <= 0) {
                    why.add("out of time");
                    return useless(why);
                }
                InetSocketAddress server = servers.next(now, tried);
                tried.add(server);
                long begun = System.nanoTime();
                DnsResponse reply = askOne(server, name, type, left, deadline);
                if (!(reply instanceof DnsResponse.ServerFailure useless)) {
                    servers.recordAnswer(server,
                            (System.nanoTime() - begun) / (double) TimeUnit.MILLISECONDS.toNanos(1));
                    return reply;
                }
                servers.recordFailure(server, clock.getAsLong());
                why.add(server.getAddress().getHostAddress() + ":" + server.getPort() + ": " + useless.why());
                log.debug("{} at {}: {}", name, server, useless.why());
            }
        }
        return useless(why);
    }

    private static DnsResponse useless(List<String> why) {
        return new DnsResponse.ServerFailure(String.join("; ", why.stream().distinct().toList()));
    }

    private DnsResponse askOne(InetSocketAddress server, Name name, int type, long millis, long deadline) {
        try {
            Message query = query(name, type, true);
            Message answer = DnsTransport.udp(server, query, millis);
            // it may be too old for EDNS (RFC 6891 section 7)
            if (answer != null && answer.getRcode() == Rcode.FORMERR) {
                query = query(name, type, false);
                answer = DnsTransport.udp(server, query, millis);
            }
            DnsResponse reply = answer == null ? new DnsResponse.Truncated() : DnsResponse.of(query, answer);
            if (!(reply instanceof DnsResponse.Truncated)) {
                return reply;
            }
            long left = Math.min(timeout, deadline - clock.getAsLong());
            if (left <= 0) {
                return new DnsResponse.ServerFailure("truncated, and no time for TCP");
            }
            return overTcp(server, query, left);
        } catch (IOException | RuntimeException e) {
            return new DnsResponse.ServerFailure(reason(e));
        }
    }

    private static DnsResponse overTcp(InetSocketAddress server, Message query, long millis) {
        try {
            DnsResponse whole = DnsResponse.of(query, DnsTransport.tcp(server, query, millis));
            return whole instanceof DnsResponse.Truncated ? new DnsResponse.ServerFailure("truncated, also over TCP")
                    : whole;
        } catch (IOException e) {
            return new DnsResponse.ServerFailure("truncated, and over TCP: " + reason(e));
        }
    }

    private static String reason(Exception e) {
        return e.getMessage() == null ? e.getClass().getSimpleName() : e.getMessage();
    }

    private Message query(Name name, int type, boolean edns) {
        var query = new Message(random.nextInt(1 << 16));
        query.getHeader().setFlag(Flags.RD);
        query.addRecord(Record.newRecord(name, type, DClass.IN), Section.QUESTION);
        if (edns) {
            query.addRecord(new OPTRecord(UDP_PAYLOAD, 0, 0), Section.ADDITIONAL);
        }
        return query;
    }
}

package wallmoor.dns;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
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
import org.xbill.DNS.Type;

/**
 * A stub resolver (RFC 1034) over UDP and TCP. The message codec is dnsjava's; this class and those beside it choose
 * the servers, retry, check the responses and cache them. Safe for concurrent use.
 */
public final class StubResolver {
    /** Fits a packet on usual paths without fragmentation (the value recommended by DNS Flag Day 2020). */
    private static final int UDP_PAYLOAD_BYTES = 1232;
    /** How often each server is tried for a question. */
    private static final int ROUNDS = 2;
    private static final int QUERY_IDS = 1 << 16;
    private static final double NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private final Logger log = LoggerFactory.getLogger(StubResolver.class);
    private final NameServers servers;
    private final DnsCache cache;
    private final long timeoutMillis;
    private final LongSupplier clock;
    private final SecureRandom random = new SecureRandom();

    /**
     * Creates a resolver.
     *
     * @param timeoutMillis the timeout of one attempt at one server
     * @param cachedAnswers how many answers the cache holds at most
     * @param clock         a monotonic clock, in milliseconds
     */
    StubResolver(List<InetSocketAddress> addresses, TtlPolicy ttls, long timeoutMillis, int cachedAnswers,
            LongSupplier clock) {
        servers = new NameServers(addresses);
        cache = new DnsCache(ttls, cachedAnswers);
        this.timeoutMillis = timeoutMillis;
        this.clock = clock;
    }

    /**
     * Looks up the records of a name and type, in the cache while it has a fresh answer. If no server answers, a stale
     * answer is returned where there is one. Gives up at {@code deadline}, on this resolver's clock.
     *
     * @param bypassCache whether to query the servers even if the cache has a fresh answer
     */
    RecordLookup find(Name name, int type, long deadline, boolean bypassCache) {
        RecordLookup fresh = cache.fresh(clock.getAsLong(), name, type);
        if (fresh != null && !bypassCache) {
            return fresh;
        }
        RecordLookup lookup = query(name, type, deadline);
        if (lookup instanceof RecordLookup.LookupFailure failure) {
            RecordLookup stale = cache.stale(clock.getAsLong(), name, type);
            if (stale != null) {
                log.warn("DNS look-up failed, using the stale answer: name={} reason={}", name, failure.reason());
                return stale;
            }
        }
        return lookup;
    }

    /** Queries the servers, and follows aliases whose target is not in the same response. */
    private RecordLookup query(Name name, int type, long deadline) {
        Name current = name;
        Set<Name> visited = new HashSet<>();
        while (true) {
            DnsResponse response = queryServers(current, type, deadline);
            long now = clock.getAsLong();
            if (response instanceof DnsResponse.PositiveAnswer answer) {
                cacheAdditional(now, answer);
                return cache.put(now, name, type, answer.records(), answer.ttl());
            }
            if (response instanceof DnsResponse.NegativeAnswer answer) {
                return cache.putNegative(now, name, type, answer);
            }
            if (!(response instanceof DnsResponse.Alias alias)) {
                return new RecordLookup.LookupFailure(((DnsResponse.ServerFailure) response).reason());
            }
            if (!visited.add(current) || visited.contains(alias.target()) || visited.size() > DnsResponse.MAX_ALIASES) {
                return new RecordLookup.LookupFailure(DnsResponse.TOO_MANY_ALIASES);
            }
            current = alias.target();
        }
    }

    /** Caches addresses of the additional section, but only those of targets of the response's own SRV records. */
    private void cacheAdditional(long now, DnsResponse.PositiveAnswer answer) {
        Set<Name> targets = new HashSet<>();
        for (Record record : answer.records()) {
            if (record instanceof SRVRecord srv) {
                targets.add(srv.getTarget());
            }
        }
        for (Name target : targets) {
            cacheAdditional(now, target, Type.A, answer);
            cacheAdditional(now, target, Type.AAAA, answer);
        }
    }

    private void cacheAdditional(long now, Name target, int type, DnsResponse.PositiveAnswer answer) {
        var records = new ArrayList<Record>();
        long ttl = Long.MAX_VALUE;
        for (Record record : answer.additional()) {
            if (record.getType() == type && record.getName().equals(target)) {
                records.add(record);
                ttl = Math.min(ttl, record.getTTL());
            }
        }
        if (!records.isEmpty()) {
            cache.put(now, target, type, records, ttl);
        }
    }

    /** Queries one server after another until one gives a useful response. */
    private DnsResponse queryServers(Name name, int type, long deadline) {
        var reasons = new LinkedHashSet<String>();
        for (int round = 0; round < ROUNDS; round++) {
            Set<InetSocketAddress> tried = new HashSet<>();
            for (int i = 0; i < servers.count(); i++) {
                long now = clock.getAsLong();
                long remaining = Math.min(timeoutMillis, deadline - now);
                if (remaining <= 0) {
                    reasons.add("the deadline of the look-up has passed");
                    return failure(reasons);
                }
                InetSocketAddress server = servers.next(now, tried);
                tried.add(server);
                DnsResponse response = queryServer(server, name, type, remaining, deadline);
                if (!(response instanceof DnsResponse.ServerFailure failure)) {
                    return response;
                }
                reasons.add(server.getAddress().getHostAddress() + ":" + server.getPort() + ": " + failure.reason());
            }
        }
        return failure(reasons);
    }

    private static DnsResponse failure(Set<String> reasons) {
        return new DnsResponse.ServerFailure(String.join("; ", reasons));
    }

    /** Queries a server, and records its failure or response time. */
    private DnsResponse queryServer(InetSocketAddress server, Name name, int type, long millis, long deadline) {
        long startNanos = System.nanoTime();
        DnsResponse response = exchange(server, name, type, millis, deadline);
        if (response instanceof DnsResponse.ServerFailure failure) {
            servers.recordFailure(server, clock.getAsLong());
            log.debug("DNS server failed: name={} server={} reason={}", name, server, failure.reason());
        } else {
            servers.recordAnswer(server, (System.nanoTime() - startNanos) / NANOS_PER_MILLI);
        }
        return response;
    }

    /** Queries a server over UDP, and over TCP if the response is truncated. */
    private DnsResponse exchange(InetSocketAddress server, Name name, int type, long millis, long deadline) {
        try {
            Message query = message(name, type, true);
            Message received = DnsTransport.udp(server, query, millis);
            // a server without EDNS answers FORMERR: queried again without it (RFC 6891 section 7)
            if (received != null && received.getRcode() == Rcode.FORMERR) {
                query = message(name, type, false);
                received = DnsTransport.udp(server, query, millis);
            }
            DnsResponse response = received == null
                    ? new DnsResponse.Truncated()
                    : DnsResponse.of(query, received);
            if (!(response instanceof DnsResponse.Truncated)) {
                return response;
            }
            long remaining = Math.min(timeoutMillis, deadline - clock.getAsLong());
            if (remaining <= 0) {
                return new DnsResponse.ServerFailure("truncated, and no time left for TCP");
            }
            return exchangeOverTcp(server, query, remaining);
        } catch (IOException | RuntimeException e) {
            return new DnsResponse.ServerFailure(reason(e));
        }
    }

    private static DnsResponse exchangeOverTcp(InetSocketAddress server, Message query, long millis) {
        try {
            DnsResponse response = DnsResponse.of(query, DnsTransport.tcp(server, query, millis));
            return response instanceof DnsResponse.Truncated
                    ? new DnsResponse.ServerFailure("truncated, also over TCP")
                    : response;
        } catch (IOException e) {
            return new DnsResponse.ServerFailure("truncated, and over TCP: " + reason(e));
        }
    }

    private static String reason(Exception e) {
        return e.getMessage() == null ? e.getClass().getSimpleName() : e.getMessage();
    }

    private Message message(Name name, int type, boolean edns) {
        var query = new Message(random.nextInt(QUERY_IDS));
        query.getHeader().setFlag(Flags.RD);
        query.addRecord(Record.newRecord(name, type, DClass.IN), Section.QUESTION);
        if (edns) {
            query.addRecord(new OPTRecord(UDP_PAYLOAD_BYTES, 0, 0), Section.ADDITIONAL);
        }
        return query;
    }
}

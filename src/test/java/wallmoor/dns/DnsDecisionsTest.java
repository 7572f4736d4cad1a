package wallmoor.dns;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertTrue;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.Test;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Flags;
import org.xbill.DNS.Message;
import org.xbill.DNS.Name;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Record;
import org.xbill.DNS.Section;
import org.xbill.DNS.Type;
import wallmoor.standin.DnsServer;

/** The decisions of the DNS resolver without network: TTLs, choice of servers, cache, responses and endpoints. */
public class DnsDecisionsTest {
    private static final InetSocketAddress ONE = new InetSocketAddress("127.0.0.1", 1);
    private static final InetSocketAddress TWO = new InetSocketAddress("127.0.0.1", 2);

    @Test
    public void clampsTtlsAndBoundsNegativeTtls() {
        var policy = new TtlPolicy(1000, 300_000, 3_600_000);
        assertEquals("0 is raised to the lower limit", 1000, policy.clampTtlMillis(0));
        assertEquals("RFC 2181: the highest bit means 0", 1000, policy.clampTtlMillis(1L << 31));
        assertEquals(300_000, policy.clampTtlMillis((1L << 31) - 1));
        assertEquals(60_000, policy.clampTtlMillis(60));
        assertEquals("the lesser of TTL and minimum", 5_000, policy.negativeTtlMillis(900, 5));
        assertEquals(300_000, policy.negativeTtlMillis(86_400, 86_400));
        assertEquals(1000, policy.negativeTtlMillis());
        for (double random = 0; random <= 1; random += 0.25) {
            long after = policy.refreshAfterMillis(60_000, random);
            assertTrue("refreshed before it expires: " + after, after >= 48_000 && after <= 57_000);
        }
    }

    @Test
    public void choosesTheFastestServerAndFailedServersLast() {
        var servers = new NameServers(List.of(ONE, TWO, ONE));
        assertEquals(2, servers.count());
        servers.recordAnswer(ONE, 40);
        servers.recordAnswer(TWO, 10);
        assertEquals(TWO, servers.next(0, Set.of()));
        servers.recordFailure(TWO, 0);
        assertEquals(ONE, servers.next(500, Set.of()));
        assertEquals("used in backoff after the others were tried", TWO, servers.next(500, Set.of(ONE)));
        assertNull(servers.next(500, Set.of(ONE, TWO)));
        assertEquals("chosen after its backoff", TWO, servers.next(1001, Set.of()));
        servers.recordFailure(TWO, 1001);
        assertEquals("the backoff doubles", ONE, servers.next(2500, Set.of()));
        for (int i = 0; i < 20; i++) {
            servers.recordFailure(TWO, 2500);
        }
        assertEquals("the backoff has an upper limit", TWO, servers.next(62_501, Set.of()));
        servers.recordAnswer(TWO, 5);
        int chosenOne = 0;
        for (int i = 0; i < 200; i++) {
            InetSocketAddress next = servers.next(70_000, Set.of());
            servers.recordAnswer(next, next.equals(ONE) ? 40 : 5);
            chosenOne += next.equals(ONE) ? 1 : 0;
        }
        assertTrue("the slower server is measured again at times: " + chosenOne, chosenOne > 0 && chosenOne < 20);
    }

    @Test
    public void returnsStaleAnswersForALimitedTimeButNoStaleNegativeAnswers() throws Exception {
        var cache = new DnsCache(new TtlPolicy(1000, 300_000, 10_000), 2);
        Name name = Name.fromString("a.example.");
        List<Record> records = List.of(DnsServer.a("a.example", 2, "127.0.0.1"));
        cache.put(0, name, Type.A, records, 2);
        assertEquals(500, ((RecordLookup.Records) cache.fresh(1500, name, Type.A)).ttlMillis());
        assertNull(cache.fresh(2000, name, Type.A));
        assertTrue(((RecordLookup.Records) cache.stale(9_999, name, Type.A)).stale());
        assertNull(cache.stale(10_000, name, Type.A));
        cache.putNegative(10_000, name, Type.A, new DnsResponse.NegativeAnswer("NXDOMAIN", -1, -1));
        assertEquals("NXDOMAIN", ((RecordLookup.NoRecords) cache.fresh(10_500, name, Type.A)).reason());
        assertNull(cache.stale(12_000, name, Type.A));
        for (int i = 0; i < 3; i++) {
            cache.put(0, Name.fromString("n" + i + ".example."), Type.A, records, 60);
        }
        assertNull("evicted beyond the capacity", cache.fresh(1, Name.fromString("n0.example."), Type.A));
    }

    @Test
    public void checksTheQuestionAndFollowsAliasesOfResponses() throws Exception {
        Message query = query("s.example.");
        Message other = new Message(query.getHeader().getID());
        other.getHeader().setFlag(Flags.QR);
        other.addRecord(Record.newRecord(Name.fromString("t.example."), Type.A, DClass.IN), Section.QUESTION);
        assertTrue(!DnsResponse.answers(query, other) && !DnsResponse.answers(query, query));
        Message loop = answer(query, DnsServer.cname("s.example", "t.example"),
                DnsServer.cname("t.example", "s.example"));
        assertTrue(DnsResponse.answers(query, loop));
        assertTrue(DnsResponse.of(query, loop) instanceof DnsResponse.ServerFailure);
        Message alias = answer(query, DnsServer.cname("s.example", "t.example"));
        assertEquals(new DnsResponse.Alias(Name.fromString("t.example.")), DnsResponse.of(query, alias));
        Message good = answer(query, DnsServer.cname("s.example", "t.example"),
                DnsServer.a("t.example", 5, "127.0.0.1"),
                DnsServer.a("stranger.example", 5, "127.0.0.9"));
        assertEquals(1, ((DnsResponse.PositiveAnswer) DnsResponse.of(query, good)).records().size());
        assertEquals("the least TTL of the chain", 5, ((DnsResponse.PositiveAnswer) DnsResponse.of(query, good)).ttl());
        good.getHeader().setRcode(Rcode.SERVFAIL);
        assertTrue(DnsResponse.of(query, good) instanceof DnsResponse.ServerFailure);
    }

    private static Message query(String name) throws Exception {
        var query = new Message(7);
        query.addRecord(Record.newRecord(Name.fromString(name), Type.A, DClass.IN), Section.QUESTION);
        return query;
    }

    private static Message answer(Message query, Record... records) {
        var answer = new Message(query.getHeader().getID());
        answer.getHeader().setFlag(Flags.QR);
        answer.addRecord(query.getQuestion(), Section.QUESTION);
        for (Record record : records) {
            answer.addRecord(record, Section.ANSWER);
        }
        return answer;
    }

    @Test
    public void mapsWeightsToSizesAndIdsToIdentities() {
        var mapper = new TargetMapper(4, List.of("east", "west"), List.of("k"));
        var faults = new ArrayList<String>();
        var endpoints = mapper.endpoints(List.of(target("a", 10, 30, Map.of("cell", "1", "zone", "west", "id", "w1")),
                target("b", 10, 10, Map.of("cell", "1")), target("c", 20, 0, Map.of("cell", "3")),
                target("d", 10, 20, Map.of("cell", "4")), target("e", 10, 20, Map.of("cell", "2", "id", "w1")),
                target("f", 10, 20, Map.of("cell", "2", "zone", "north"))), -1, faults);
        assertEquals(List.of("w1", "b:9/127.0.0.1", "c:9/127.0.0.1", "f:9/127.0.0.1"),
                endpoints.stream().map(e -> e.id()).toList());
        assertEquals(List.of(1.5, 0.5, 1.0, 1.0), endpoints.stream().map(e -> e.size()).toList());
        assertEquals(List.of(10, 10, 20, 10), endpoints.stream().map(e -> e.tier()).toList());
        assertEquals(1, endpoints.get(0).zone());
        assertEquals(faults.toString(), 3, faults.size());
        assertTrue(faults.toString(), faults.get(0).startsWith("d: its TXT record has no cell from 0 to 3"));
    }

    private static ServiceTarget target(String name, int priority, int weight, Map<String, String> text) {
        return new ServiceTarget(name, List.of("127.0.0.1"), 9, priority, weight, text, 1000);
    }
}

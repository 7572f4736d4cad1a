package wallmoor.cli;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.After;
import org.junit.Before;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Record;
import org.xbill.DNS.Type;
import wallmoor.standin.DnsServer;
import wallmoor.standin.DnsServer.Fault;

/** Runs {@code resolve}, {@code members} and {@code check} against a scripted DNS server. */
public class ResolveCommandTest {
    private static final String SERVICE = "_calendar._tcp.fleet.example";

    @Rule
    public final TemporaryFolder folder = new TemporaryFolder();
    private DnsServer dns;
    private String out;
    private String err;

    @Before
    public void start() throws Exception {
        dns = new DnsServer();
        dns.service(SERVICE, 60, "n1.example:9001:10:60:cell=0,id=w1", "n2.example:9002:10:40:cell=1",
                "n3.example:9003:20:0:cell=1");
    }

    @After
    public void stop() throws Exception {
        dns.close();
    }

    private int run(String... args) {
        Console result = Console.run(args);
        out = result.out();
        err = result.err();
        return result.code();
    }

    private int resolve(String name) {
        return run("resolve", "--server", "127.0.0.1:" + dns.port(), "--json", name);
    }

    @Test
    public void printsOneLinePerNode() {
        assertEquals(err, 0, resolve(SERVICE));
        assertEquals("{\"target\":\"n1.example\",\"address\":\"127.0.0.1\",\"port\":9001,\"priority\":10,\"weight\":60,"
                + "\"ttl\":60}\n"
                + "{\"target\":\"n2.example\",\"address\":\"127.0.0.1\",\"port\":9002,\"priority\":10,"
                + "\"weight\":40,\"ttl\":60}\n"
                + "{\"target\":\"n3.example\",\"address\":\"127.0.0.1\",\"port\":9003,\"priority\":20,"
                + "\"weight\":0,\"ttl\":60}\n", out);
        assertEquals(0, run("resolve", "--server", "127.0.0.1:" + dns.port(), SERVICE));
        assertEquals("n1.example 127.0.0.1:9001 10 60 60", out.lines().findFirst().orElse(""));
        dns.set("n1.example", Type.A);
        dns.set("n1.example", Type.AAAA, DnsServer.aaaa("n1.example", 7, "::1"));
        assertEquals(err, 0, resolve(SERVICE));
        assertTrue(out,
                out.contains("\"address\":\"0:0:0:0:0:0:0:1\",\"port\":9001,\"priority\":10,\"weight\":60,\"ttl\":7"));
    }

    @Test
    public void exitCodeAndMessageReportServerFaults() {
        Object[][] cases = {{Fault.SERVFAIL, 4, "SERVFAIL"}, {Fault.REFUSED, 4, "REFUSED"},
            {Fault.SILENT, 4, "no answer"},
            {Fault.WRONG_ID, 4, "another question"}, {Fault.WRONG_QUESTION, 4, "another question"},
            {Fault.OTHER_PORT, 4, "no answer"}, {Fault.GARBAGE, 4, "can't be read"},
            {Fault.POINTER_LOOP, 4, "can't be read"}, {Fault.TRUNCATED, 0, ""}, {Fault.FORMERR_ON_EDNS, 0, ""},
            {Fault.TRUNCATED_NO_TCP, 4, "truncated, and over TCP"}, {Fault.TRUNCATED_SILENT_TCP, 4, "over TCP"},
            {Fault.HALF_TCP, 4, "the server closed the connection after "}};
        for (Object[] testCase : cases) {
            dns.setFault((Fault) testCase[0]);
            long startNanos = System.nanoTime();
            assertEquals(testCase[0] + ": " + err, testCase[1], resolve(SERVICE));
            assertTrue(testCase[0] + ": " + err, err.contains((String) testCase[2]));
            assertTrue(testCase[0] + " took too long", System.nanoTime() - startNanos < TimeUnit.SECONDS.toNanos(10));
        }
    }

    @Test
    public void exitsWithNoRecordsCodeIfServiceIsAbsent() {
        assertEquals(3, resolve("_none._tcp.fleet.example"));
        assertTrue(err, err.contains("NXDOMAIN"));
        dns.setNegativeAnswers(false, "_empty._tcp.fleet.example");
        assertEquals(3, resolve("_empty._tcp.fleet.example"));
        assertTrue(err, err.contains("NODATA"));
        dns.set(SERVICE, Type.SRV, DnsServer.srv(SERVICE, 60, 0, 0, 0, "."));
        assertEquals(3, resolve(SERVICE));
        assertTrue(err, err.contains("not offered"));
    }

    @Test
    public void followsAliasesAndReportsLoops() {
        for (int i = 0; i < 6; i++) {
            dns.set("c" + i + ".example", Type.CNAME, DnsServer.cname("c" + i + ".example",
                    i == 5 ? SERVICE : "c" + (i + 1) + ".example"));
        }
        assertEquals(err, 0, resolve("c0.example"));
        assertEquals(3, out.lines().count());
        dns.set("l1.example", Type.CNAME, DnsServer.cname("l1.example", "l2.example"));
        dns.set("l2.example", Type.CNAME, DnsServer.cname("l2.example", "l1.example"));
        assertEquals(4, resolve("l1.example"));
        assertTrue(err, err.contains("CNAME"));
    }

    @Test
    public void usesSecondServerIfFirstFails() throws Exception {
        try (var workingServer = new DnsServer()) {
            workingServer.service(SERVICE, 0, "n1.example:9001:10:60:cell=0");
            for (Fault fault : new Fault[] {Fault.SERVFAIL, Fault.GARBAGE, Fault.TRUNCATED_NO_TCP}) {
                dns.setFault(fault);
                assertEquals(0, run("resolve", "--server", "127.0.0.1:" + dns.port(), "--server", "127.0.0.1:"
                        + workingServer.port(), SERVICE));
                assertEquals(out, 1, out.lines().count());
            }
        }
    }

    @Test
    public void receivesThousandRecordsOverTcpAndReportsUnresolvableTargets() {
        var records = new ArrayList<Record>();
        for (int i = 0; i < 1000; i++) { // a DNS message is limited to 64 KiB, which 5000 records exceed
            records.add(DnsServer.srv(SERVICE, 60, 0, 1, 1 + i, i == 7 ? "none.example" : "n1.example"));
        }
        dns.set(SERVICE, Type.SRV, records.toArray(Record[]::new));
        assertEquals(err, 0, resolve(SERVICE));
        assertEquals(999, out.lines().count());
        assertTrue(err, err.contains("none.example: no address: NXDOMAIN"));
        assertTrue(dns.seen.contains("tcp " + SERVICE + " SRV"));
        dns.set("n1.example", Type.A, Record.newRecord(records.get(0).getName(), Type.A, DClass.IN));
    }

    @Test
    public void membersPrintsNodesWithCauses() throws Exception {
        Path operator = folder.newFile("members.yaml").toPath();
        String file = "sources:\n  list: {enabled: false}\n  dns: {servers: [\"127.0.0.1:" + dns.port()
                + "\"], names: [{name: "
                + SERVICE + "}], timeout: 100ms}\n";
        Files.writeString(operator, file);
        String[] command = {"members", "--config", "example/config.json", "--operator", operator.toString(), "--wait",
            "5", "--json"};
        assertEquals(err, 0, run(command));
        assertEquals(out, 3, out.lines().count());
        assertTrue(out,
                out.startsWith(
                        "{\"node\":\"n2.example:9002/127.0.0.1\",\"address\":\"127.0.0.1:9002\",\"cell\":1,\"size\":0.8"
                                + ",\"state\":\"SERVING\",\"cause\":\"named by dns " + SERVICE + " at look-up 1\"}"));
        assertTrue("tier 20 is on standby: " + out, out.contains("stands by in tier 20: tier 10 serves cell 1"));
        dns.setFault(Fault.SILENT);
        command[6] = "1";
        assertEquals("a source did not report", 4, run(command));
        assertTrue(err, err.contains("dns " + SERVICE + ": 0 nodes, no report yet: "));
    }

    @Test
    public void exitsWithUsageErrorOnInvalidArgumentsAndFiles() throws Exception {
        assertEquals(2, run("resolve", "--server", "nowhere", SERVICE));
        assertEquals(2, run("resolve"));
        assertEquals(2, run());
        assertEquals(2, run("serve", "now"));
        assertEquals(0, run("--help"));
        assertTrue(out, List.of("check", "members", "resolve", "serve", "generate-completion").stream()
                .allMatch(out::contains));
        Path bad = folder.newFile("operator.yaml").toPath();
        Files.writeString(bad, """
                sources:
                  dns:
                    servers: [somewhere]
                    name: x
                    most_age: 5
                  list: {enabled: perhaps}
                logging:
                  levels: {dns: loud}
                ogx: 1
                """);
        assertEquals(2, run("check", "--config", "example/config.json", bad.toString()));
        for (String error : new String[] {
            "line 3: sources.dns.servers: contains a value that is not ADDRESS:PORT: somewhere",
            "line 4: sources.dns.name: is unknown; did you mean names?",
            "line 5: sources.dns.most_age: must be a duration",
            "line 6: sources.list.enabled: must be true or false", "line 8: logging.levels.dns: must be trace",
            "line 9: ogx: is unknown; did you mean ogc?"}) {
            assertTrue(error + " in " + err, err.contains(error));
        }
        assertEquals(err, 0, run("check", "--config", "example/config.json", "deploy/operator.yaml"));
        assertEquals(err, 0, run("check", "--config", "example/config.json", "example/operator.yaml"));
    }
}

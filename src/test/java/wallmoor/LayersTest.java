package wallmoor;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.junit.Test;

/** The permitted dependencies between packages: fronts use the core, the core uses decisions, never the reverse. */
public class LayersTest {
    private static final Map<String, Set<String>> MAY_USE = Map.ofEntries(
            entry("decision"), entry("json"), entry("threads"), entry("http", "threads"),
            entry("config", "decision", "json", "placement", "maintenance"), entry("log", "config"),
            entry("core", "decision", "metrics"), entry("adapter", "decision", "config"),
            // decides on endpoints: no I/O; of the core it may use only the type of an endpoint
            entry("endpoints", "core"),
            entry("sources", "endpoints", "core", "threads"),
            entry("discovery", "sources", "endpoints", "core", "config", "http", "threads", "json"),
            entry("inventory", "sources", "endpoints", "core", "config", "threads", "decision"),
            entry("dns", "sources", "endpoints", "core", "config", "threads"),
            entry("frames", "core", "config", "http", "threads"),
            entry("platform", "queries", "core", "config", "http", "json"),
            entry("queries", "core", "json"),
            // decides on devices' requests: no I/O, no use of the core
            entry("idempotency"),
            entry("edge", "idempotency", "queries", "core", "config", "threads", "json", "decision"),
            entry("edge.http", "edge", "idempotency", "queries", "config", "http"),
            entry("edge.coap", "edge", "idempotency", "queries", "config"),
            // decides which requests may use memory of the heap: no I/O, no use of the core
            entry("memory"),
            entry("ogc", "memory", "pruning", "summaries", "rules", "sources", "inventory", "endpoints", "core",
                    "config",
                    "http", "threads", "json", "decision"),
            // decides which gatherers are group members: no I/O, no use of the core
            entry("peers"),
            // counts and decides for the operators' address: no I/O
            entry("metrics"), entry("bans"),
            entry("operator", "bans", "http", "threads"),
            entry("upgrade", "threads"),
            // decides which rule version is active: no I/O; may use only the JSON reader
            entry("rules", "json"),
            // client and server of a control port, through which commands reach a running gatherer
            entry("control", "threads", "json"),
            // consensus on rules: the log, files and connections of a Raft library, and the control port
            entry("consensus", "rules", "config", "control", "threads", "json", "log"),
            // decides which blocks move between nodes: no I/O, no use of the core
            entry("placement"),
            // decides how moves are executed: no I/O
            entry("migration", "placement", "rules", "json"),
            // decides which machines are taken out of service for maintenance, and when: no I/O
            entry("maintenance", "rules", "json"),
            entry("migration.http", "migration", "rules", "json", "threads"),
            // runs the production decision code on a simulated clock; never used by serve
            entry("simulation", "peers", "rules"),
            entry("peers.udp", "peers", "config", "control", "threads"),
            entry("service", "consensus", "rules", "operator", "metrics", "bans", "upgrade", "peers", "peers.udp",
                    "edge", "edge.http", "edge.coap", "idempotency", "platform", "ogc", "frames", "discovery",
                    "inventory",
                    "dns", "sources", "endpoints",
                    "core", "config", "http", "threads", "json", "log", "decision"),
            // decides which sites can hold rows that match a query: no I/O, no use of the core
            entry("summaries"),
            // requests summaries from sites: I/O only, no decisions
            entry("pruning", "summaries", "rules", "config", "http", "threads", "json", "log"),
            entry("client"),
            entry("cli", "migration", "migration.http", "rules", "summaries", "client", "edge", "service", "inventory",
                    "dns", "endpoints", "placement", "maintenance", "config",
                    "control", "json"));

    private static Map.Entry<String, Set<String>> entry(String name, String... uses) {
        return Map.entry(name, Set.of(uses));
    }

    @Test
    public void packagesUseOnlyPermittedPackages() throws Exception {
        Path root = Path.of("src/main/java/wallmoor");
        List<Path> files;
        try (var all = Files.walk(root)) {
            files = all.filter(f -> f.toString().endsWith(".java") && !f.getParent().equals(root)).toList();
        }
        assertTrue(files.size() > 30);
        for (Path file : files) {
            String packageName = root.relativize(file.getParent()).toString().replace(java.io.File.separatorChar, '.');
            var used = new TreeSet<String>();
            Matcher reference = Pattern.compile("wallmoor\\.([a-z]+(?:\\.[a-z]+)?)\\.[A-Z]")
                    .matcher(Files.readString(file));
            while (reference.find()) {
                used.add(reference.group(1));
            }
            used.remove(packageName);
            used.removeAll(MAY_USE.get(packageName));
            assertEquals(file + " uses", Set.of(), used);
        }
    }

    @Test
    public void frontsUseOnlySettingsTypesOfDecision() throws Exception {
        for (String front : List.of("platform", "ogc")) {
            try (var files = Files.list(Path.of("src/main/java/wallmoor", front))) {
                String text = files.map(LayersTest::read).collect(Collectors.joining());
                assertTrue(front,
                        Pattern.compile("decision\\.(?!(RoutingSettings|Idempotency|ShardLayout);)")
                                .matcher(text)
                                .results().findAny().isEmpty());
            }
        }
    }

    /** Decision code that uses no socket, file, clock or thread can be replayed and verified. */
    @Test
    public void decisionCodeUsesNoInputOrOutput() throws Exception {
        var forbidden = Pattern
                .compile("java\\.(io|net|nio\\.(file|channels))|System\\.(nano|current|out|err)|Thread|Instant|slf4j");
        for (String decisionPackage : List.of("decision", "endpoints", "idempotency", "peers", "metrics", "bans",
                "rules", "placement", "summaries", "migration", "maintenance", "memory")) {
            try (var files = Files.list(Path.of("src/main/java/wallmoor", decisionPackage))) {
                String text = files.filter(Files::isRegularFile).map(LayersTest::read).collect(Collectors.joining());
                assertEquals(decisionPackage, List.of(),
                        forbidden.matcher(text).results().map(r -> r.group()).toList());
            }
        }
        // the decision classes of dns
        for (String file : List.of("TtlPolicy", "NameServers", "DnsResponse", "DnsCache", "TargetMapper")) {
            String text = read(Path.of("src/main/java/wallmoor/dns", file + ".java"))
                    .replace("java.net.InetSocketAddress", "");
            assertEquals(file, List.of(), forbidden.matcher(text).results().map(r -> r.group()).toList());
        }
        // decision classes of packages that also contain I/O
        for (String file : List.of("discovery/WatchStateMachine", "discovery/RetrySchedule", "discovery/Staleness",
                "discovery/ReadDeadline", "upgrade/LiveProcesses", "upgrade/SharedQuota", "http/Eviction",
                "consensus/RejoiningVoter",
                "pruning/PrunableSites")) {
            String text = read(Path.of("src/main/java/wallmoor", file + ".java"));
            assertEquals(file, List.of(), forbidden.matcher(text).results().map(r -> r.group()).toList());
        }
    }

    private static String read(Path file) {
        try {
            return Files.readString(file);
        } catch (java.io.IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }
}

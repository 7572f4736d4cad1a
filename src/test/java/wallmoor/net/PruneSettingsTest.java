package wallmoor.net;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Map;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;
import wallmoor.config.ConfigException;
import wallmoor.config.LaunchConfig;
import wallmoor.config.OperatorConfig;
import wallmoor.rules.DocumentSchemas;
import wallmoor.standin.Ports;

/**
 * The section {@code summaries} of the operators' file: its faults name the key and line, and none of its classes is
 * loaded where it is absent.
 */
public class PruneSettingsTest {
    private static final String OGC = """
            ogc:
              listen: 127.0.0.1:1
              inventory: hosts.csv
              collections:
                rows: {class: all, shards: [0], properties: [city]}
            """;
    @Rule
    public final TemporaryFolder folder = new TemporaryFolder();

    private OperatorConfig read(String text) throws Exception {
        Path config = folder.getRoot().toPath().resolve("config.json");
        Files.writeString(config, Program.config("t", 1, 2, 3, "", 64));
        Path file = folder.getRoot().toPath().resolve("operator.yaml");
        Files.writeString(file, text);
        return OperatorConfig.read(file, LaunchConfig.read(Map.of("ROUTER_CONFIG", config.toString())));
    }

    private String faults(String text) {
        return assertThrows(ConfigException.class, () -> read(text)).getMessage();
    }

    @Test
    public void reportsFaultsByKeyAndLine() throws Exception {
        var valid = read(OGC + "summaries:\n  sites: [fs1, fs2]\n").summaries();
        assertEquals(5000, valid.lifetimeMillis());
        assertEquals(16 << 20, valid.memoryBytes());
        String errors = faults(OGC + "summaries:\n  sites: [fs1, fs1]\n  lifetim: 1s\n  poll: 4s\n"
                + "  checks: {share: 2}\n  most_bytes: 12\n");
        for (String fault : new String[] {"line 7: summaries.sites: names a host twice",
            "line 8: summaries.lifetim: is unknown; did you mean lifetime?",
            "line 9: summaries.poll: is more than half",
            "line 10: summaries.checks.share: must be a number", "line 11: summaries.most_bytes: must be an integer"}) {
            assertTrue(errors, errors.contains(fault));
        }
        assertTrue(faults("summaries: {sites: [a]}\n").contains("line 1: summaries: needs the section ogc"));
        assertTrue(faults(OGC.replace("[city]", "[bbox]"))
                .contains("properties: contains a name that cannot be a query parameter"));
        assertEquals(null, read(OGC + "summaries: {enabled: false, sites: [fs1]}\n").summaries());
    }

    @Test
    public void readsTheExampleWithRulesAndItsFirstVersion() throws Exception {
        var launch = LaunchConfig.read(Map.of("ROUTER_CONFIG", "example/config.json"));
        OperatorConfig example = OperatorConfig.read(Path.of("example/agreed.yaml"), launch);
        assertTrue(example.rules().voters().containsKey(launch.name()));
        var version = DocumentSchemas.SUMMARIES.parse(Files.readString(Path.of("example/agreed-summaries.json")));
        assertTrue(version.containsName("prunable", "fs1") && example.summaries().sites().contains("fs1"));
    }

    @Test
    public void loadsNoPruningClassWhereSectionIsAbsent() throws Exception {
        Path classes = folder.getRoot().toPath().resolve("classes");
        int port = Ports.free();
        Path config = folder.getRoot().toPath().resolve("on.json");
        Path hosts = folder.getRoot().toPath().resolve("hosts.csv");
        Files.writeString(hosts, "host,address,zone,cell,state\nfs1,127.0.0.1:1,east,0,serving\n");
        Path operator = folder.getRoot().toPath().resolve("on.yaml");
        Files.writeString(operator, OGC.replace("127.0.0.1:1", "127.0.0.1:" + Ports.free()));
        try (var discovery = new StandIn.Discovery()) {
            Files.writeString(config, Program.config("t", 1, port, discovery.port(), "", 64));
            for (boolean hasFeatures : new boolean[] {false, true}) {
                var command = new ArrayList<>(Program.command());
                command.add(1, "-Xlog:class+load:file=" + classes);
                var builder = new ProcessBuilder(command);
                builder.environment().put("ROUTER_CONFIG", config.toString());
                if (hasFeatures) {
                    builder.environment().put("WALLMOOR_OPERATOR", operator.toString());
                }
                Process process = builder.redirectError(ProcessBuilder.Redirect.DISCARD).start();
                try {
                    Program.await("ready", () -> {
                        try {
                            return Client.get(port, "/-/ready").status == 200;
                        } catch (java.io.IOException e) {
                            return false;
                        }
                    });
                    String loaded = Files.readString(classes);
                    assertTrue(loaded.contains("wallmoor.service.Service"));
                    assertEquals(hasFeatures, loaded.contains("wallmoor.ogc.FeaturesFront"));
                    for (String absent : new String[] {"wallmoor.pruning.", "wallmoor.summaries.",
                        "wallmoor.ogc.FeatureServerDirectory"}) {
                        assertTrue(absent, !loaded.contains(absent));
                    }
                } finally {
                    process.destroyForcibly().onExit().join();
                }
            }
        }
    }
}

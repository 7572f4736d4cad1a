package wallmoor.config;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;

/** Reads the section {@code rules}, and reports its faults by key and line. */
public class RulesConfigTest {
    private static final String THREE_VOTERS = "rules:\n  voters: {example: \"127.0.0.1:7961\", "
            + "b: \"127.0.0.1:7962\", c: \"127.0.0.1:7963\"}\n";

    @Rule
    public final TemporaryFolder folder = new TemporaryFolder();
    private final LaunchConfig launch = LaunchConfig.read(Map.of("ROUTER_CONFIG", "example/config.json"));

    private OperatorConfig read(String text) throws Exception {
        return OperatorConfig.read(Files.writeString(folder.newFile().toPath(), text), launch);
    }

    private void assertRejected(String text, String... expected) {
        String message = assertThrows(ConfigException.class, () -> read(text)).getMessage();
        for (String part : expected) {
            assertTrue(message, message.contains(part));
        }
    }

    @Test
    public void voterListensAtItsOwnAddressUnlessListenIsSet() throws Exception {
        RulesConfig rules = read(THREE_VOTERS + "  directory: kept\n").rules();
        assertEquals(List.of("b", "c", "example"), List.copyOf(rules.voters().keySet()));
        assertEquals(7961, rules.listen().getPort());
        assertEquals(5_000, rules.term());
        assertNull(rules.control());
        assertEquals(Path.of("kept"), rules.directory().getFileName());
        assertEquals(8_000,
                read(THREE_VOTERS + "  directory: kept\n  listen: 127.0.0.1:8000\n").rules().listen().getPort());
        assertNull(read(THREE_VOTERS + "  directory: kept\n  enabled: false\n").rules());
        assertNull(read("logging: {format: text}\n").rules());
    }

    @Test
    public void reportsFaultsByKeyAndLine() {
        assertRejected(THREE_VOTERS, "line 2: rules.directory: is absent");
        assertRejected(THREE_VOTERS + "  directory: kept\n  control: 0.0.0.0:7971\n", "line 4: rules.control");
        assertRejected(THREE_VOTERS + "  directory: kept\n  term: 5\n", "line 4: rules.term");
        assertRejected(THREE_VOTERS + "  directory: kept\n  dirctory: kept\n", "line 4: rules.dirctory",
                "did you mean directory?");
        assertRejected("rules:\n  voters: {a: \"127.0.0.1:1\", b: \"127.0.0.1:2\"}\n",
                "line 2: rules.voters: names 2 voters");
        assertRejected("rules:\n  voters: {a: \"127.0.0.1:1\", b: \"127.0.0.1:2\", c: nowhere}\n", "rules.voters.c");
        assertRejected("rules:\n  voters: {a: \"127.0.0.1:1\", b: \"127.0.0.1:2\", c: \"127.0.0.1:3\"}\n  listen: "
                + "127.0.0.1:4\n",
                "line 3: rules.listen", "does not name this gatherer");
    }
}

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

/** The section {@code rules}: what is faulty is told by key and line. */
public class RulesConfigTest {
    private static final String THREE = "rules:\n  voters: {example: \"127.0.0.1:7961\", b: \"127.0.0.1:7962\", c: "
            + "\"127.0.0.1:7963\"}\n";

    @Rule
    public final TemporaryFolder folder = new TemporaryFolder();
    private final LaunchConfig launch = LaunchConfig.read(Map.of("ROUTER_CONFIG", "example/config.json"));

    private OperatorConfig read(String text) throws Exception {
        return OperatorConfig.read(Files.writeString(folder.newFile().toPath(), text), launch);
    }

    private void refuses(String text, String... said) {
        String fault = assertThrows(ConfigException.class, () -> read(text)).getMessage();
        for (String s : said) {
            assertTrue(fault, fault.contains(s));
        }
    }

    @Test
    public void aVoterListensAtItsOwnAddressUnlessToldOtherwise() throws Exception {
        RulesConfig rules = read(THREE + "  directory: kept\n").rules();
        assertEquals(List.of("b", "c", "example"), List.copyOf(rules.voters().keySet()));
        assertEquals(7961, rules.listen().getPort());
        assertEquals(5_000, rules.term());
        assertNull(rules.control());
        assertEquals(Path.of("kept"), rules.directory().getFileName());
        assertEquals(8_000, read(THREE + "  directory: kept\n  listen: 127.0.0.1:8000\n").rules().listen().getPort());
        assertNull(read(THREE + "  directory: kept\n  enabled: false\n").rules());
        assertNull(read("logging: {format: text}\n").rules());
    }

    @Test
    public void faultsNameTheirKeyAndLine() {
        refuses(THREE, "line 2: rules.directory: is absent");
        refuses(THREE + "  directory: kept\n  control: 0.0.0.0:7971\n", "line 4: rules.control");
        refuses(THREE + "  directory: kept\n  term: 5\n", "line 4: rules.term");
        refuses(THREE + "  directory: kept\n  dirctory: kept\n", "line 4: rules.dirctory", "did you mean directory?");
        refuses("rules:\n  voters: {a: \"127.0.0.1:1\", b: \"127.0.0.1:2\"}\n", "line 2: rules.voters: names 2 voters");
        refuses("rules:\n  voters: {a: \"127.0.0.1:1\", b: \"127.0.0.1:2\", c: nowhere}\n", "rules.voters.c");
        refuses("rules:\n  voters: {a: \"127.0.0.1:1\", b: \"127.0.0.1:2\", c: \"127.0.0.1:3\"}\n  listen: "
                + "127.0.0.1:4\n",
                "line 3: rules.listen", "does not name this gatherer");
    }
}

package wallmoor.cli;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.util.List;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;

/** Checks the output and exit codes of {@code rebalance plan}, and that each error names its key and line. */
public class RebalanceTest {
    @Rule
    public TemporaryFolder folder = new TemporaryFolder();

    private Console plan(String... lines) throws Exception {
        return Console.plan("rebalance", folder.newFile().toPath(), lines);
    }

    @Test
    public void printsMovesInOrderAsJson() throws Exception {
        Console result = plan("headroom: 0.1", "spread: cell", "nodes:",
                "- {id: a, cell: x, disk_mb: 1000, drain: true}",
                "- {id: b, cell: x, disk_mb: 334, drain: false}", "blocks:", "- {id: b1, mb: 300, on: [a]}");
        assertEquals(
                "{\"feasible\":true,\"moves\":[{\"block\":\"b1\",\"from\":\"a\",\"to\":\"b\",\"mb\":300,\"wave\":1}],"
                        + "\"mb\":300,\"bound_mb\":300,\"exact\":true}\n",
                result.out());
        assertEquals(0, result.code());
        assertEquals(0, Console.run("rebalance", "plan", "example/rebalance.yaml").code());
    }

    @Test
    public void printsMinimalConflictWithoutPlan() throws Exception {
        Console result = plan("headroom: 0.1", "spread: cell", "level: 0.9", "nodes:",
                "- {id: a, cell: x, disk_mb: 1000, drain: true}",
                "- {id: b, cell: x, disk_mb: 333}", "blocks:", "- {id: b1, mb: 300, on: [a]}");
        assertEquals("{\"feasible\":false,\"because\":[{\"rule\":\"drain\",\"nodes\":[\"a\"],\"blocks\":[]},"
                + "{\"rule\":\"room\",\"nodes\":[\"b\"],\"blocks\":[]}],\"smallest\":true}\n", result.out());
        assertEquals(3, result.code());
    }

    @Test
    public void reportsEachErrorWithKeyAndLine() throws Exception {
        Console result = plan("headroom: 1.5", "spread: rack", "levle: 0.2", "nodes:",
                "- {id: a, cell: x, disk_mb: -1}", "- {id: a, cell: x, disk_mb: many, drain: perhaps}",
                "- {id: d, disk_mb: 5}",
                "blocks:", "- {id: b1, mb: 0, on: [a, a]}", "- {id: b1, mb: 3, on: [z]}", "- {id: b3, on: []}",
                "- plain");
        assertEquals(2, result.code());
        List<String> lines = result.err().lines().map(l -> l.replaceFirst(".*?: (line .*)", "$1")).toList();
        for (String error : List.of("line 1: headroom: must be a share", "line 2: spread: must be cell or node",
                "line 3: levle: is unknown; did you mean level?",
                "line 5: nodes.0.disk_mb: must be an integer", "line 6: nodes.1.id: is a duplicate",
                "line 6: nodes.1.disk_mb: must be an integer",
                "line 6: nodes.1.drain: must be true or false", "line 7: nodes.2.cell: is absent",
                "line 9: blocks.0.mb: must be an integer",
                "line 9: blocks.0.on: names a node twice", "line 10: blocks.1.id: is a duplicate",
                "line 10: blocks.1.on: names a node that is not in nodes: z", "line 11: blocks.2.mb: is absent",
                "line 11: blocks.2.on: is absent or empty", "line 12: blocks.3: must be a mapping")) {
            assertTrue(error + " in " + lines, lines.stream().anyMatch(l -> l.startsWith(error)));
        }
        assertEquals(2, plan("headroom: 0", "spread: node", "nodes: []", "blocks: {}").code());
        assertEquals(2, Console.run("rebalance", "plan", "no-such-file.yaml").code());
    }
}

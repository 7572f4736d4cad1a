package wallmoor.cli;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.util.List;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;

/** Checks the output and exit codes of {@code maintenance plan}, and that each error names its key and line. */
public class MaintenanceTest {
    @Rule
    public TemporaryFolder folder = new TemporaryFolder();

    private Console plan(String... lines) throws Exception {
        return Console.plan("maintenance", folder.newFile().toPath(), lines);
    }

    @Test
    public void printsOrderAsJson() throws Exception {
        Console result = plan("at: 2026-12-05T20:00:00Z", "budgets: {at_once: 1, parts: 5s, cold: 18s, warm_up: 7s}",
                "machines:",
                "- {id: a, centre: x}", "- {id: b, centre: x, capacity: 3}", "blocks:", "- {id: b1, on: [a, b]}",
                "wishes:",
                "- {id: w1, machine: a, lasts: 30s, who: kim}");
        assertEquals(
                "{\"feasible\":true,\"order\":[{\"wish\":\"w1\",\"machine\":\"a\",\"starts\":\"2026-12-05T20:00:00Z\","
                        + "\"free\":\"2026-12-05T20:00:05Z\",\"back\":\"2026-12-05T20:00:35Z\","
                        + "\"done\":\"2026-12-05T20:01:00Z\",\"out\":1,"
                        + "\"capacity\":0.75,\"must_stay\":[\"b\"]}],\"seconds\":60,\"bound_seconds\":60}\n",
                result.out());
        assertEquals(0, result.code());
        Console example = Console.run("maintenance", "plan", "example/maintenance.yaml");
        assertEquals(example.err(), 0, example.code());
    }

    @Test
    public void printsMinimalConflictWithoutOrder() throws Exception {
        Console result = plan("at: 2026-12-05T20:00:00Z", "budgets: {at_once: 1}", "machines:", "- {id: a, centre: x}",
                "blocks:",
                "- {id: b1, on: [a]}", "wishes:", "- {id: w1, machine: a, lasts: 30s, who: kim}");
        assertEquals("{\"feasible\":false,\"because\":[{\"rule\":\"cover\",\"machines\":[\"a\"],\"blocks\":[\"b1\"],"
                + "\"budget\":\"\"}],\"smallest\":true,\"proven\":true}\n", result.out());
        assertEquals(3, result.code());
        result = plan("at: 2026-12-05T20:00:00Z", "budgets: {at_once: 1}", "machines:", "- {id: a, centre: x}",
                "- {id: b, centre: x, phase: away}", "wishes:", "- {id: w1, machine: a, lasts: 30s, who: kim}");
        assertEquals("{\"feasible\":\"waits\",\"because\":[{\"rule\":\"at_once\",\"machines\":[],\"blocks\":[],"
                + "\"budget\":\"at_once\"}],\"smallest\":true}\n", result.out());
        assertEquals(3, result.code());
    }

    @Test
    public void reportsEachErrorWithKeyAndLine() throws Exception {
        Console result = plan("at: tomorrow", "budgets:", "  at_once: many", "  centres: {z: 1}", "  capacity_kept: 2",
                "  hours: [\"22-4\"]", "  offset: east", "  cold_sahre: 0.1", "machines:",
                "- {id: a, centre: x, kind: door}",
                "- {id: a, centre: x, phase: gone}", "- {id: c}", "blocks:", "- {id: b1, on: []}",
                "- {id: b1, on: [a, a, q]}",
                "wishes:", "- {id: w1, machine: q, lasts: soon, who: kim}",
                "- {id: w2, machine: a, by: never, after: [q]}",
                "- {id: w3, machine: a, lasts: 5m, who: ali}");
        assertEquals(2, result.code());
        List<String> lines = result.err().lines().map(l -> l.replaceFirst(".*?: (line .*)", "$1")).toList();
        for (String error : List.of("line 1: at: must be a time in UTC", "line 3: budgets.at_once: must be an integer",
                "line 4: budgets.centres.z: is not the centre of any machine",
                "line 5: budgets.capacity_kept: must be a share",
                "line 6: budgets.hours: contains a value that is not a window",
                "line 7: budgets.offset: must be an offset",
                "line 8: budgets.cold_sahre: is unknown; did you mean cold_share?",
                "line 10: machines.0.kind: must be node or gatherer",
                "line 11: machines.1.id: is a duplicate",
                "line 11: machines.1.phase: must be serving, draining or away",
                "line 12: machines.2.centre: is absent",
                "line 14: blocks.0.on: is absent", "line 15: blocks.1.id: is a duplicate",
                "line 15: blocks.1.on: names a machine twice",
                "line 15: blocks.1.on: names a machine that is not in machines: q",
                "line 17: wishes.0.machine: is not in machines: q",
                "line 17: wishes.0.lasts: must be a duration", "line 18: wishes.1.lasts: is absent",
                "line 18: wishes.1.by: must be a time in UTC",
                "line 18: wishes.1.after: names a machine that is not in machines", "line 18: wishes.1.who: is absent",
                "line 19: wishes.2.machine: is in an earlier wish already: a")) {
            assertTrue(error + " in " + lines, lines.stream().anyMatch(l -> l.startsWith(error)));
        }
        assertEquals(2, Console.run("maintenance", "plan", "no-such-file.yaml").code());
    }
}

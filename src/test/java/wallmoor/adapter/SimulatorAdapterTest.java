package wallmoor.adapter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.io.StringReader;
import java.io.StringWriter;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Runs the adapter on lines of the wire protocol and checks its replies. */
class SimulatorAdapterTest {
    private static final String SETTINGS = "Classes.count=1 Classes.0.Aim=2000000 Classes.0.GiveUp=4000000"
            + " Classes.0.Repeat=free Classes.0.Worth=1.0 Domain.FollowUp=0 Domain.NeedByClass=1.0"
            + " Domain.Reach=1 Domain.Sets=2 Domain.Slabs=2 Discovery=automatic Instances=2 Position=0"
            + " Round=5000 Limits.MaxAttempts=3 Limits.Cancelling=true Contract.DrainGrace=500000"
            + " Contract.ColdShare=0.2 Contract.Cold=10000000 Contract.FallMultiple=3 Contract.OverloadFor=2000000"
            + " LoadReport.Columns=outstanding,novel LoadReport.How=answers Unknown.Key=7";
    private static final String START = "START 77 " + SETTINGS + "\n";
    private static final String LIST = """
            INVENTORY 0 2
            ITEM 10.0.0.1:7000 0 0 0 up 1 -
            ITEM 10.0.0.2:7000 0 0 1 up - 0
            PEERS_KNOWN stale_copy 4 0
            """;
    private static final String QUERY = """
            INCOMING 00000000000000aa 0 - - 3000000 - 1 -1 1 0
            INCOMING 00000000000000ab 0 - - 3000000 - 1 0 1 0
            """;

    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    private List<String> run(String input) throws Exception {
        var out = new StringWriter();
        new SimulatorAdapter(new BufferedReader(new StringReader(input)), new PrintWriter(out),
                new PrintStream(err, true))
                .run();
        return out.toString().lines().toList();
    }

    private static String batch(long atMicros, int round, String... lines) {
        return "TURN " + atMicros + " " + round + "\n" + String.join("", lines) + "GO\n\n";
    }

    @Test
    void repliesToAnEmptyBatch() throws Exception {
        assertEquals(List.of("OK 1"), run(batch(5, 1)));
        assertEquals(List.of(), run(""));
    }

    @Test
    void routesAndAnswersAQueryAtTheGathererThatReceivedIt() throws Exception {
        var output = run(batch(0, 1, "SWITCH_TO 3\n", START, LIST, "SWITCH_TO 5\n", START, LIST)
                + batch(5000, 2, "SWITCH_TO 5\n", QUERY)
                + batch(90000, 3, "SWITCH_TO 5\n",
                        "RESOLVED 00000000000000ab 0 10.0.0.1:7000 ok 85000 1 3.0,9\n"));
        assertEquals("OK 1", output.get(0));
        assertTrue(output.contains("SOURCE 5"));
        assertFalse(output.contains("SOURCE 3"));
        assertTrue(output.stream().anyMatch(s -> s.matches("ASSIGN 00000000000000ab 10.0.0.1:7000 \\d+")));
        assertTrue(output.indexOf("ANSWER 00000000000000aa 1") > output.indexOf("OK 2"));
        assertEquals("OK 3", output.get(output.size() - 1));
    }

    @Test
    void forgetsQueriesAtACrashAndRestartInOneBatch() throws Exception {
        var output = run(batch(0, 1, "SWITCH_TO 0\n", START, LIST, QUERY)
                + batch(5000, 2, "SWITCH_TO 0\n", "CRASH_NOW\n", START, LIST,
                        "RESOLVED 00000000000000ab 0 10.0.0.1:7000 ok 5000 1 -\n", "HANGUP 00000000000000aa\n"));
        assertTrue(output.stream().noneMatch(s -> s.startsWith("ANSWER") || s.startsWith("BUG")));
        assertEquals("OK 2", output.get(output.size() - 1));
    }

    @Test
    void replacesAnInventoryOfTheSameNumberWithinABatch() throws Exception {
        var output = run(batch(0, 1, "SWITCH_TO 0\n", START, LIST, "INVENTORY 0 1\nITEM 10.0.0.9:7000 0 0 0 up 1 -\n",
                "PEERS_KNOWN whole 5 0\n", QUERY));
        assertTrue(output.stream().anyMatch(s -> s.startsWith("ASSIGN 00000000000000ab 10.0.0.9:7000 ")));
    }

    @Test
    void acceptsTheRemainingEvents() throws Exception {
        var output = run(batch(0, 1, "SWITCH_TO 0\n", START, LIST, "WAKE sweep\n", "PEER 1 68692037\n", "PEER 1 -\n",
                "SAMPLED 10.0.0.1:7000 timeout 250000 -\n", "FLOWING 00000000000000ab 0 10.0.0.1:7000 9\n",
                "PEERS_KNOWN broken 6 -\n", "PEERS_KNOWN broken 6 0\n").replace("broken 6 -\n", "broken 6 0\n"));
        assertEquals("OK 1", output.get(output.size() - 1));
    }

    @Test
    void rejectsMalformedLinesNamingLineAndField() {
        String setup = "SWITCH_TO 0\n" + START + LIST;
        assertRejected("line 1: TURN field AtTime", "TURN x 1\nGO\n");
        assertRejected("line 8: NOVEL field name", batch(0, 1, setup, "NOVEL 1\n"));
        assertRejected("line 8: RESOLVED field How", batch(0, 1, setup, "RESOLVED a 0 l odd 1 1 -\n"));
        assertRejected("line 8: RESOLVED field Complete", batch(0, 1, setup, "RESOLVED a 0 l ok 1 yes -\n"));
        assertRejected("line 8: HANGUP field Ticket", batch(0, 1, setup, "HANGUP\n"));
        assertRejected("line 8: PEERS_KNOWN field Sheet", batch(0, 1, setup, "PEERS_KNOWN whole 2 9\n"));
        assertRejected("line 8: PEER field Contents", batch(0, 1, setup, "PEER 1 zz\n"));
        assertRejected("line 2: INVENTORY field Elements", "TURN 0 1\nINVENTORY 0 2\nITEM a 0 0 0 up 1 -\nGO\n");
        assertRejected("line 3: START field Params lacks the required setting Round",
                batch(0, 1, "SWITCH_TO 0\n", START.replace(" Round=5000", "")));
        assertRejected("line 3: START field Params is refused: settings.Position is 4, but must be from 0 to",
                batch(0, 1, "SWITCH_TO 0\n", START.replace("Position=0", "Position=4")));
    }

    private void assertRejected(String prefix, String input) {
        String message = assertThrows(WireFormatException.class, () -> run(input)).getMessage();
        assertTrue(message.startsWith(prefix), message);
    }
}

package wallmoor.moves.http;

import static org.junit.Assert.assertArrayEquals;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;
import wallmoor.json.Json;
import wallmoor.moves.Ask;
import wallmoor.moves.Carry;
import wallmoor.moves.Held;
import wallmoor.moves.Said;
import wallmoor.moves.Stage;
import wallmoor.moves.State;
import wallmoor.moves.Status;
import wallmoor.versions.Document;
import wallmoor.versions.Kinds;

/**
 * What the program before 3 December 2026 sent to nodes and kept on disks is read, and written again with the same
 * bytes.
 */
public class GoldenFilesTest {
    private static final String RESOURCES = "/golden/migration/";

    @Rule
    public final TemporaryFolder folder = new TemporaryFolder();

    private static byte[] bytes(String name) throws IOException {
        try (InputStream in = GoldenFilesTest.class.getResourceAsStream(RESOURCES + name)) {
            return in.readAllBytes();
        }
    }

    private static List<String> lines(String name) throws IOException {
        return new String(bytes(name), StandardCharsets.UTF_8).lines().toList();
    }

    private static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @Test
    public void requestsToNodesKeepTheirForm() throws IOException {
        Set<Class<?>> seen = Stream.of(Ask.class.getPermittedSubclasses()).collect(Collectors.toSet());
        for (String line : lines("requests.jsonl")) {
            Forms.Request request = Forms.readRequest(utf8(line));
            assertEquals(line, Forms.write(request.block(), request.number(), request.ask()));
            seen.remove(request.ask().getClass());
        }
        assertEquals("every kind of request has a line", Set.of(), seen);
    }

    @Test
    public void answersOfNodesKeepTheirForm() throws IOException {
        var seen = new TreeSet<Said.Verdict>();
        for (String line : lines("answers.jsonl")) {
            Said answer = Forms.readSaid(utf8(line));
            assertEquals(line, Forms.write(answer));
            seen.add(answer.verdict());
        }
        assertEquals(Set.of(Said.Verdict.values()), seen);
    }

    @Test
    public void whatNodesKeepOfABlockIsReadAndWrittenAlike() throws IOException {
        var seen = new TreeSet<Held.Status>();
        for (String line : lines("replica-records.jsonl")) {
            Held replica = Forms.readHeld(utf8(line));
            assertEquals(line, Forms.write(replica));
            seen.add(replica.status());
        }
        assertEquals(Set.of(Held.Status.values()), seen);
    }

    @Test
    public void thePlansBodyAndFallbackAreReadAndWrittenAlike() throws Exception {
        List<String> lines = lines("plan-documents.jsonl");
        var seen = new TreeSet<Stage>();
        for (int i = 0; i < lines.size(); i += 2) {
            State state = State.read(Kinds.PLAN.read(lines.get(i)));
            assertEquals(lines.get(i), state.body());
            assertEquals(lines.get(i + 1), state.fallback());
            assertEquals(lines.get(i + 1), State.read(Kinds.PLAN.read(lines.get(i + 1))).body());
            state.moves().values().forEach(c -> seen.add(c.stage()));
        }
        assertEquals(Set.of(Stage.values()), seen);
    }

    @Test
    public void thePlansFileIsReadAndWrittenAlike() throws Exception {
        List<String> lines = lines("plan-documents.jsonl");
        Path old = folder.newFolder("old").toPath();
        Files.write(old.resolve("plan"), bytes("plan"));
        try (var plan = new PlanDirectory(old)) {
            Document second = plan.read();
            assertEquals(2, second.number());
            assertEquals(lines.get(2), second.body());
            assertEquals(lines.get(3), second.fallback());
            assertEquals(State.read(Kinds.PLAN.read(lines.get(2))), Carrier.read(second));
        }
        Path fresh = folder.newFolder("fresh").toPath();
        try (var plan = new PlanDirectory(fresh)) {
            plan.own();
            plan.propose(0, lines.get(0), lines.get(1));
            plan.propose(1, lines.get(2), lines.get(3));
        }
        assertArrayEquals(bytes("plan"), Files.readAllBytes(fresh.resolve("plan")));
    }

    @Test
    public void progressKeepsItsForm() throws Exception {
        String pid = "\"pid\":" + ProcessHandle.current().pid();
        var phases = new TreeSet<Status.Phase>();
        for (String line : lines("progress.jsonl")) {
            Json.Obj o = Json.object(utf8(line), 0, utf8(line).length);
            var moves = new ArrayList<Status.Moving>();
            for (Object each : o.list("moves")) {
                var m = (Json.Obj) each;
                var carry = new Carry(m.text("block"), m.text("from"), m.text("to"), (long) m.number("mb", 0),
                        (int) m.number("wave", 0), Stage.valueOf(m.text("stage").toUpperCase(Locale.ROOT)), true, 3);
                moves.add(new Status.Moving(carry, m.number("there", 0), m.text("waits")));
            }
            Status.Phase phase = Status.Phase.valueOf(o.text("phase").toUpperCase(Locale.ROOT));
            var status = new Status((long) o.number("version", 0), phase, moves, o.text("stuck"),
                    (long) o.number("bytes_per_second", 0), o.text("given_up"));
            String written = Carrier.json(status, (long) o.number("at_ms", 0));
            assertEquals(line, written.replace(pid, "\"pid\":1"));
            phases.add(phase);
        }
        assertEquals(Set.of(Status.Phase.values()), phases);
        assertFalse(lines("progress.jsonl").isEmpty());
    }
}

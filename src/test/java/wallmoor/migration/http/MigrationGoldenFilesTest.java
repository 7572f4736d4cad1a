package wallmoor.migration.http;

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
import wallmoor.migration.Migration;
import wallmoor.migration.MigrationPlan;
import wallmoor.migration.MigrationStage;
import wallmoor.migration.MigrationStatus;
import wallmoor.migration.ReplicaRecord;
import wallmoor.migration.ReplicaRequest;
import wallmoor.migration.ReplicaResponse;
import wallmoor.rules.DocumentSchemas;
import wallmoor.rules.RuleDocument;

/**
 * What the program before 3 December 2026 sent to nodes and kept on disks is read, and written again with the same
 * bytes.
 */
public class MigrationGoldenFilesTest {
    private static final String RESOURCES = "/golden/migration/";

    @Rule
    public final TemporaryFolder folder = new TemporaryFolder();

    private static byte[] bytes(String name) throws IOException {
        try (InputStream in = MigrationGoldenFilesTest.class.getResourceAsStream(RESOURCES + name)) {
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
        Set<Class<?>> seen = Stream.of(ReplicaRequest.class.getPermittedSubclasses()).collect(Collectors.toSet());
        for (String line : lines("requests.jsonl")) {
            MigrationCodec.RequestMessage request = MigrationCodec.decodeRequest(utf8(line));
            assertEquals(line, MigrationCodec.encode(request.block(), request.fencingToken(), request.request()));
            seen.remove(request.request().getClass());
        }
        assertEquals("every kind of request has a line", Set.of(), seen);
    }

    @Test
    public void answersOfNodesKeepTheirForm() throws IOException {
        var seen = new TreeSet<ReplicaResponse.ResponseCode>();
        for (String line : lines("answers.jsonl")) {
            ReplicaResponse answer = MigrationCodec.decodeResponse(utf8(line));
            assertEquals(line, MigrationCodec.encode(answer));
            seen.add(answer.code());
        }
        assertEquals(Set.of(ReplicaResponse.ResponseCode.values()), seen);
    }

    @Test
    public void whatNodesKeepOfABlockIsReadAndWrittenAlike() throws IOException {
        var seen = new TreeSet<ReplicaRecord.ReplicaState>();
        for (String line : lines("replica-records.jsonl")) {
            ReplicaRecord replica = MigrationCodec.decodeReplica(utf8(line));
            assertEquals(line, MigrationCodec.encode(replica));
            seen.add(replica.state());
        }
        assertEquals(Set.of(ReplicaRecord.ReplicaState.values()), seen);
    }

    @Test
    public void thePlansBodyAndFallbackAreReadAndWrittenAlike() throws Exception {
        List<String> lines = lines("plan-documents.jsonl");
        var seen = new TreeSet<MigrationStage>();
        for (int i = 0; i < lines.size(); i += 2) {
            MigrationPlan state = MigrationPlan.decode(DocumentSchemas.PLAN.parse(lines.get(i)));
            assertEquals(lines.get(i), state.body());
            assertEquals(lines.get(i + 1), state.fallback());
            assertEquals(lines.get(i + 1), MigrationPlan.decode(DocumentSchemas.PLAN.parse(lines.get(i + 1))).body());
            state.migrations().values().forEach(c -> seen.add(c.stage()));
        }
        assertEquals(Set.of(MigrationStage.values()), seen);
    }

    @Test
    public void thePlansFileIsReadAndWrittenAlike() throws Exception {
        List<String> lines = lines("plan-documents.jsonl");
        Path old = folder.newFolder("old").toPath();
        Files.write(old.resolve("plan"), bytes("plan"));
        try (var plan = new DirectoryPlanStore(old)) {
            RuleDocument second = plan.read();
            assertEquals(2, second.version());
            assertEquals(lines.get(2), second.body());
            assertEquals(lines.get(3), second.fallback());
            assertEquals(MigrationPlan.decode(DocumentSchemas.PLAN.parse(lines.get(2))), PlanDocuments.decode(second));
        }
        Path fresh = folder.newFolder("fresh").toPath();
        try (var plan = new DirectoryPlanStore(fresh)) {
            plan.acquireLock();
            plan.propose(0, lines.get(0), lines.get(1));
            plan.propose(1, lines.get(2), lines.get(3));
        }
        assertArrayEquals(bytes("plan"), Files.readAllBytes(fresh.resolve("plan")));
    }

    @Test
    public void progressKeepsItsForm() throws Exception {
        String pid = "\"pid\":" + ProcessHandle.current().pid();
        var phases = new TreeSet<MigrationStatus.MigrationPhase>();
        for (String line : lines("progress.jsonl")) {
            Json.Obj o = Json.object(utf8(line), 0, utf8(line).length);
            var moves = new ArrayList<MigrationStatus.MigrationProgress>();
            for (Object each : o.list("moves")) {
                var m = (Json.Obj) each;
                var carry = new Migration(m.text("block"), m.text("from"), m.text("to"), (long) m.number("mb", 0),
                        (int) m.number("wave", 0), MigrationStage.valueOf(m.text("stage").toUpperCase(Locale.ROOT)),
                        true, 3);
                moves.add(new MigrationStatus.MigrationProgress(carry, m.number("there", 0), m.text("waits")));
            }
            MigrationStatus.MigrationPhase phase = MigrationStatus.MigrationPhase
                    .valueOf(o.text("phase").toUpperCase(Locale.ROOT));
            var status = new MigrationStatus((long) o.number("version", 0), phase, moves, o.text("stuck"),
                    (long) o.number("bytes_per_second", 0), o.text("given_up"));
            String written = ProgressReport.encode(status, (long) o.number("at_ms", 0));
            assertEquals(line, written.replace(pid, "\"pid\":1"));
            phases.add(phase);
        }
        assertEquals(Set.of(MigrationStatus.MigrationPhase.values()), phases);
        assertFalse(lines("progress.jsonl").isEmpty());
    }
}

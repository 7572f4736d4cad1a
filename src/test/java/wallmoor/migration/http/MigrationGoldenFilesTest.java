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
 * Guards against a change of the formats on the wire and on disk. Decodes messages and files that the program wrote
 * before 3 December 2026, and compares their encoding byte for byte.
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
    public void decodesAndEncodesRequestsUnchanged() throws IOException {
        Set<Class<?>> seen = Stream.of(ReplicaRequest.class.getPermittedSubclasses()).collect(Collectors.toSet());
        for (String line : lines("requests.jsonl")) {
            MigrationCodec.RequestMessage request = MigrationCodec.decodeRequest(utf8(line));
            assertEquals(line, MigrationCodec.encode(request.block(), request.fencingToken(), request.request()));
            seen.remove(request.request().getClass());
        }
        assertEquals("request types without a line in requests.jsonl", Set.of(), seen);
    }

    @Test
    public void decodesAndEncodesResponsesUnchanged() throws IOException {
        var seen = new TreeSet<ReplicaResponse.ResponseCode>();
        for (String line : lines("answers.jsonl")) {
            ReplicaResponse response = MigrationCodec.decodeResponse(utf8(line));
            assertEquals(line, MigrationCodec.encode(response));
            seen.add(response.code());
        }
        assertEquals(Set.of(ReplicaResponse.ResponseCode.values()), seen);
    }

    @Test
    public void decodesAndEncodesReplicaRecordsUnchanged() throws IOException {
        var seen = new TreeSet<ReplicaRecord.ReplicaState>();
        for (String line : lines("replica-records.jsonl")) {
            ReplicaRecord replica = MigrationCodec.decodeReplica(utf8(line));
            assertEquals(line, MigrationCodec.encode(replica));
            seen.add(replica.state());
        }
        assertEquals(Set.of(ReplicaRecord.ReplicaState.values()), seen);
    }

    @Test
    public void decodesAndEncodesPlanBodyAndFallbackUnchanged() throws Exception {
        List<String> lines = lines("plan-documents.jsonl");
        var seen = new TreeSet<MigrationStage>();
        for (int i = 0; i < lines.size(); i += 2) {
            MigrationPlan plan = MigrationPlan.decode(DocumentSchemas.PLAN.parse(lines.get(i)));
            assertEquals(lines.get(i), plan.body());
            assertEquals(lines.get(i + 1), plan.fallback());
            assertEquals(lines.get(i + 1), MigrationPlan.decode(DocumentSchemas.PLAN.parse(lines.get(i + 1))).body());
            plan.migrations().values().forEach(migration -> seen.add(migration.stage()));
        }
        assertEquals(Set.of(MigrationStage.values()), seen);
    }

    @Test
    public void readsAndWritesPlanFileUnchanged() throws Exception {
        List<String> lines = lines("plan-documents.jsonl");
        Path oldDirectory = folder.newFolder("old").toPath();
        Files.write(oldDirectory.resolve("plan"), bytes("plan"));
        try (var store = new DirectoryPlanStore(oldDirectory)) {
            RuleDocument secondVersion = store.read();
            assertEquals(2, secondVersion.version());
            assertEquals(lines.get(2), secondVersion.body());
            assertEquals(lines.get(3), secondVersion.fallback());
            assertEquals(MigrationPlan.decode(DocumentSchemas.PLAN.parse(lines.get(2))),
                    PlanDocuments.decode(secondVersion));
        }
        Path newDirectory = folder.newFolder("fresh").toPath();
        try (var store = new DirectoryPlanStore(newDirectory)) {
            store.acquireLock();
            store.propose(0, lines.get(0), lines.get(1));
            store.propose(1, lines.get(2), lines.get(3));
        }
        assertArrayEquals(bytes("plan"), Files.readAllBytes(newDirectory.resolve("plan")));
    }

    @Test
    public void encodesProgressUnchanged() throws Exception {
        String pid = "\"pid\":" + ProcessHandle.current().pid();
        var phases = new TreeSet<MigrationStatus.MigrationPhase>();
        for (String line : lines("progress.jsonl")) {
            Json.Obj json = Json.object(utf8(line), 0, utf8(line).length);
            var migrations = new ArrayList<MigrationStatus.MigrationProgress>();
            for (Object each : json.list("moves")) {
                var move = (Json.Obj) each;
                var migration = new Migration(move.text("block"), move.text("from"), move.text("to"),
                        (long) move.number("mb", 0),
                        (int) move.number("wave", 0),
                        MigrationStage.valueOf(move.text("stage").toUpperCase(Locale.ROOT)),
                        true, 3);
                migrations.add(new MigrationStatus.MigrationProgress(migration, move.number("there", 0),
                        move.text("waits")));
            }
            MigrationStatus.MigrationPhase phase = MigrationStatus.MigrationPhase
                    .valueOf(json.text("phase").toUpperCase(Locale.ROOT));
            var status = new MigrationStatus((long) json.number("version", 0), phase, migrations, json.text("stuck"),
                    (long) json.number("bytes_per_second", 0), json.text("given_up"));
            String encoded = ProgressReport.encode(status, (long) json.number("at_ms", 0));
            assertEquals(line, encoded.replace(pid, "\"pid\":1"));
            phases.add(phase);
        }
        assertEquals(Set.of(MigrationStatus.MigrationPhase.values()), phases);
        assertFalse(lines("progress.jsonl").isEmpty());
    }
}

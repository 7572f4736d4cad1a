package wallmoor.rules;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;

/**
 * Tests that this release decodes bytes which an earlier release stored or sent into the same values, and encodes these
 * values into the same bytes. The bytes are hexadecimal text in {@code golden/versions}. Existing files there must
 * never change; a new format gets new files.
 */
class RuleCodecGoldenTest {
    private static final RuleDocument FIRST = RuleDocument.of(
            new RuleProposal("settings", 0, "", "ann", "{\"limits.open\":5,\"allow.hedge\":true}",
                    "{\"limits.open\":1}"),
            1);
    private static final RuleDocument SECOND = RuleDocument.of(
            new RuleProposal("settings", 1, FIRST.hash(), "bob ü", "{\"limits.open\":9,\"values.note\":\"größer\"}",
                    "{}"),
            2);
    private static final RuleDocument PLAN = RuleDocument
            .of(new RuleProposal("plan", 0, "", "cleo", "{\"paused\":true,\"owners.7\":[\"a\",\"b\"]}", "{}"), 4);
    private static final List<VersionChain> CHAINS = List.of(new VersionChain("settings", 1, 2, List.of(FIRST, SECOND)),
            new VersionChain("plan", 0, 4, List.of(PLAN)), new VersionChain("list", 3, 3, List.of()));
    private static final long INCARNATION = 0x0123456789abcdefL;

    private static byte[] golden(String name) throws IOException {
        try (InputStream in = RuleCodecGoldenTest.class.getResourceAsStream("/golden/versions/" + name + ".hex")) {
            return HexFormat.of()
                    .parseHex(new String(in.readAllBytes(), StandardCharsets.US_ASCII).replaceAll("\\s", ""));
        }
    }

    private static Map<String, LogEntry> entries() {
        var entries = new LinkedHashMap<String, LogEntry>();
        entries.put("entry-propose", new LogEntry.ProposeVersion(SECOND.proposal()));
        entries.put("entry-verdict-reads", new LogEntry.VoterVerdict("b", "settings", 2, SECOND.hash(), ""));
        entries.put("entry-verdict-refuses",
                new LogEntry.VoterVerdict("b", "settings", 2, SECOND.hash(), "settings: limits.open is no amount"));
        entries.put("entry-close", new LogEntry.CloseVerdicts(3, "settings", 2));
        entries.put("entry-lead", new LogEntry.LeaderElected("a", INCARNATION));
        entries.put("entry-act", new LogEntry.ActivateVersion(3, "settings", 2));
        return entries;
    }

    /** The requests name at most one document, as the order of several in the map is not defined when encoded. */
    private static Map<String, LeaseMessage> messages() {
        var messages = new LinkedHashMap<String, LeaseMessage>();
        messages.put("message-ask-first", new LeaseMessage.LeaseRequest("g1", INCARNATION, 1, Map.of()));
        messages.put("message-ask",
                new LeaseMessage.LeaseRequest("g1", INCARNATION, 2,
                        Map.of("settings", new LeaseMessage.KnownVersion(2, SECOND.hash()))));
        messages.put("message-grant", new LeaseMessage.LeaseGrant("g1", INCARNATION, 2, CHAINS));
        messages.put("message-denied", new LeaseMessage.LeaseDenial("g1", -1, 2, "leases are out to 10000 gatherers"));
        messages.put("message-news", new LeaseMessage.VersionUpdate(CHAINS));
        return messages;
    }

    /** Returns a state machine with an active version, an accepted inactive one, and a pending one. */
    private static RuleStateMachine stateMachine() {
        List<String> voters = List.of("a", "b", "c");
        var stateMachine = new RuleStateMachine(voters);
        stateMachine.apply(new LogEntry.LeaderElected("a", INCARNATION));
        for (RuleDocument document : List.of(FIRST, SECOND)) {
            stateMachine.apply(new LogEntry.ProposeVersion(document.proposal()));
            voters.forEach(voter -> stateMachine.apply(
                    new LogEntry.VoterVerdict(voter, document.name(), document.version(), document.hash(), "")));
        }
        stateMachine.apply(new LogEntry.ActivateVersion(1, "settings", 1));
        stateMachine.apply(new LogEntry.ProposeVersion(PLAN.proposal()));
        RuleDocument pending = stateMachine.pending("plan");
        stateMachine.apply(new LogEntry.VoterVerdict("c", "plan", 1, pending.hash(), ""));
        return stateMachine;
    }

    @Example
    void decodesAndEncodesLogEntriesOfEarlierRelease() throws Exception {
        for (Map.Entry<String, LogEntry> e : entries().entrySet()) {
            byte[] bytes = golden(e.getKey());
            assertEquals(e.getValue(), LogEntryCodec.decode(bytes), e.getKey());
            assertArrayEquals(bytes, LogEntryCodec.encode(e.getValue()), e.getKey());
        }
    }

    @Example
    void decodesAndEncodesMessagesOfEarlierRelease() throws Exception {
        for (Map.Entry<String, LeaseMessage> e : messages().entrySet()) {
            byte[] bytes = golden(e.getKey());
            assertEquals(e.getValue(), LeaseMessageCodec.decode(bytes), e.getKey());
            assertArrayEquals(bytes, LeaseMessageCodec.encode(e.getValue()), e.getKey());
        }
    }

    @Example
    void decodesRequestWithTwoDocumentsInEitherOrder() throws Exception {
        var request = new LeaseMessage.LeaseRequest("g1", INCARNATION, 3,
                Map.of("settings", new LeaseMessage.KnownVersion(2, SECOND.hash()), "plan",
                        new LeaseMessage.KnownVersion(4, PLAN.hash())));
        assertEquals(request, LeaseMessageCodec.decode(golden("message-ask-plan-settings")));
        assertEquals(request, LeaseMessageCodec.decode(golden("message-ask-settings-plan")));
    }

    @Example
    void restoresAndTakesSnapshotOfEarlierRelease() throws Exception {
        byte[] bytes = golden("ledger");
        RuleStateMachine restored = RuleStateMachine.restoreSnapshot(List.of("a", "b", "c"), bytes);
        assertArrayEquals(bytes, restored.takeSnapshot());
        assertArrayEquals(bytes, stateMachine().takeSnapshot());
        assertEquals(FIRST.version(), restored.activeVersion("settings"));
        assertEquals(SECOND, restored.latestAccepted("settings"));
        assertEquals(PLAN.proposal(), restored.pending("plan").proposal());
        assertEquals("[a, b]", restored.votersWithoutVerdict("plan").toString());
    }

    @Example
    void decodesAndEncodesKnownVersionsFileOfEarlierRelease() throws Exception {
        byte[] bytes = golden("known-file");
        assertEquals(CHAINS, LeaseMessageCodec.decodeKnownVersions(RecordFile.decodeComplete(bytes)));
        assertArrayEquals(bytes, RecordFile.encodeComplete(LeaseMessageCodec.encodeKnownVersions(CHAINS)));
    }

    /** The log file has one record per entry, and a torn record at its end that is dropped. */
    @Example
    void decodesLogFileUpToTornLastRecord() throws Exception {
        byte[] bytes = golden("log-file-torn");
        RecordFile.DecodedRecords decoded = RecordFile.decodeLog(bytes);
        List<LogEntry> expected = List.copyOf(entries().values());
        assertEquals(expected.size(), decoded.records().size());
        int offset = 0;
        for (int i = 0; i < expected.size(); i++) {
            assertEquals(expected.get(i), LogEntryCodec.decode(decoded.records().get(i)));
            byte[] record = RecordFile.encodeRecord(LogEntryCodec.encode(expected.get(i)));
            assertArrayEquals(Arrays.copyOfRange(bytes, offset, offset + record.length), record);
            offset += record.length;
        }
        assertEquals(offset, decoded.validLength());
        assertEquals(offset + 17, bytes.length);
    }

    @Example
    void computesSameHashesAsEarlierRelease() {
        assertEquals("42a81586d32dfdd6ca7c0364a011e456c294492252408a38f69dcd8918d4068b", FIRST.hash());
        assertEquals("5651426f72fbc15ae4b9e02bdf5beed1f782a36fa064bb4082b86474e75b122b", SECOND.hash());
        assertEquals("887acdaa3f147f58bcbb77db3415b907e5647b12628aa097aba536cec3589e63",
                SECOND.proposal().idempotencyKey());
    }
}

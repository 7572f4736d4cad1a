package wallmoor.consensus;

import static org.junit.Assert.assertEquals;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.Test;
import wallmoor.rules.LeaseMessage;
import wallmoor.rules.LogEntry;
import wallmoor.rules.RuleDocument;
import wallmoor.rules.RuleProposal;
import wallmoor.rules.VersionChain;

/** Guards against changes of the wire format: gatherers of two versions are connected during an upgrade. */
public class PacketGoldenTest {
    private static final String FILE = "packets.hex";
    private static final RuleProposal PROPOSAL = new RuleProposal("settings", 0, "", "ann", "{\"limits.open\": 200}",
            "{\"limits.open\": 100}");
    private static final RuleDocument FIRST = RuleDocument.of(PROPOSAL, 3);
    private static final RuleDocument SECOND = RuleDocument
            .of(new RuleProposal("settings", FIRST.version(), FIRST.hash(),
                    "Zoë ✓", "{\"limits.open\": 210}", "{}"), 5);

    static Map<String, Packet> samples() {
        Map<String, Packet> samples = new LinkedHashMap<>();
        samples.put("hello", new Packet.Handshake("g1,g2,g3 term 5000 ms", "g2", 1_700_000_000_123_456L));
        samples.put("log", new Packet.RaftEnvelope(new byte[] {0, 1, -1, 127, -128}));
        samples.put("log-empty", new Packet.RaftEnvelope(new byte[0]));
        samples.put("ask", new Packet.LeaseEnvelope(new LeaseMessage.LeaseRequest("g7", 1_700_000_000_000_001L, 42,
                Map.of("settings", new LeaseMessage.KnownVersion(5, SECOND.hash())))));
        samples.put("grant", new Packet.LeaseEnvelope(new LeaseMessage.LeaseGrant("g7", 1_700_000_000_000_001L, 42,
                List.of(new VersionChain("settings", 3, 5, List.of(FIRST, SECOND))))));
        samples.put("denied", new Packet.LeaseEnvelope(new LeaseMessage.LeaseDenial("g7", 1_700_000_000_000_001L, 43,
                "it knows settings 8, the voters have 3 and not that one")));
        samples.put("news", new Packet.LeaseEnvelope(
                new LeaseMessage.VersionUpdate(List.of(new VersionChain("settings", 3, 3, List.of(FIRST))))));
        samples.put("elsewhere", new Packet.NotLeader("g3"));
        samples.put("elsewhere-unknown", new Packet.NotLeader(""));
        samples.put("verdict",
                new Packet.ForwardedVerdict(new LogEntry.VoterVerdict("g2", "settings", 5, SECOND.hash(), "")));
        samples.put("verdict-refused",
                new Packet.ForwardedVerdict(new LogEntry.VoterVerdict("g2", "settings", 5, SECOND.hash(),
                        "limits.opened is no field of settings")));
        samples.put("ask-term", new Packet.TermRequest());
        samples.put("term", new Packet.TermResponse(19));
        samples.put("request-propose", new Packet.ClientRequest(77, "settings", PROPOSAL));
        samples.put("request-history", new Packet.ClientRequest(Long.MAX_VALUE, "list", null));
        samples.put("reply-acts", new Packet.ClientResponse(77, "acts", 5, "", 5, List.of(), List.of()));
        samples.put("reply-refused", new Packet.ClientResponse(-78, "refused", 6,
                "settings 5 by ann was proposed first on the same parent", 5, List.of(), List.of()));
        samples.put("reply-told", new Packet.ClientResponse(79, "told", 0, "", 3, List.of(FIRST, SECOND),
                List.of("settings 4: no verdict came from g2, g3")));
        return samples;
    }

    private static Map<String, byte[]> encodedSamples() {
        Map<String, byte[]> written = new LinkedHashMap<>();
        samples().forEach((name, packet) -> written.put(name, PacketCodec.encode(packet)));
        return written;
    }

    @Test
    public void encodesGoldenPackets() throws Exception {
        Golden.assertSame(FILE, encodedSamples());
    }

    @Test
    public void decodesGoldenPacketsAndEncodesThemUnchanged() throws Exception {
        Map<String, Packet> samples = samples();
        for (Map.Entry<String, byte[]> sample : Golden.read(FILE).entrySet()) {
            Packet decoded = PacketCodec.decode(sample.getValue());
            assertEquals(sample.getKey(), Golden.hex(sample.getValue()), Golden.hex(PacketCodec.encode(decoded)));
            if (!(decoded instanceof Packet.RaftEnvelope)) { // arrays are compared by identity
                assertEquals(samples.get(sample.getKey()), decoded);
            }
        }
    }

    @Test
    public void encodesGoldenFrames() throws Exception {
        Map<String, byte[]> frames = new LinkedHashMap<>();
        frames.put("beat", FramedConnection.frame(new byte[0]));
        frames.put("hello", FramedConnection.frame(PacketCodec.encode(samples().get("hello"))));
        Golden.assertSame("frames.hex", frames);
    }
}

package wallmoor.agreement;

import static org.junit.Assert.assertEquals;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.Test;
import wallmoor.versions.Chain;
import wallmoor.versions.Document;
import wallmoor.versions.Entry;
import wallmoor.versions.Message;
import wallmoor.versions.Proposal;

/** The bytes on connections between gatherers stay those of the versions before: both run side by side in an upgrade. */
public class PacketGoldenTest {
    private static final String FILE = "packets.hex";
    private static final Proposal PROPOSAL = new Proposal("settings", 0, "", "ann", "{\"limits.open\": 200}",
            "{\"limits.open\": 100}");
    private static final Document FIRST = Document.of(PROPOSAL, 3);
    private static final Document SECOND = Document.of(new Proposal("settings", FIRST.number(), FIRST.hash(),
            "Zoë ✓", "{\"limits.open\": 210}", "{}"), 5);

    static Map<String, Packet> samples() {
        Map<String, Packet> samples = new LinkedHashMap<>();
        samples.put("hello", new Packet.Hello("g1,g2,g3 term 5000 ms", "g2", 1_700_000_000_123_456L));
        samples.put("log", new Packet.Log(new byte[] {0, 1, -1, 127, -128}));
        samples.put("log-empty", new Packet.Log(new byte[0]));
        samples.put("ask", new Packet.Said(new Message.Ask("g7", 1_700_000_000_000_001L, 42,
                Map.of("settings", new Message.Known(5, SECOND.hash())))));
        samples.put("grant", new Packet.Said(new Message.Grant("g7", 1_700_000_000_000_001L, 42,
                List.of(new Chain("settings", 3, 5, List.of(FIRST, SECOND))))));
        samples.put("denied", new Packet.Said(new Message.Denied("g7", 1_700_000_000_000_001L, 43,
                "it knows settings 8, the voters have 3 and not that one")));
        samples.put("news", new Packet.Said(new Message.News(List.of(new Chain("settings", 3, 3, List.of(FIRST))))));
        samples.put("elsewhere", new Packet.Elsewhere("g3"));
        samples.put("elsewhere-unknown", new Packet.Elsewhere(""));
        samples.put("verdict", new Packet.Verdict(new Entry.Verdict("g2", "settings", 5, SECOND.hash(), "")));
        samples.put("verdict-refused", new Packet.Verdict(new Entry.Verdict("g2", "settings", 5, SECOND.hash(),
                "limits.opened is no field of settings")));
        samples.put("ask-term", new Packet.AskTerm());
        samples.put("term", new Packet.Term(19));
        samples.put("request-propose", new Packet.Request(77, "settings", PROPOSAL));
        samples.put("request-history", new Packet.Request(Long.MAX_VALUE, "list", null));
        samples.put("reply-acts", new Packet.Reply(77, "acts", 5, "", 5, List.of(), List.of()));
        samples.put("reply-refused", new Packet.Reply(-78, "refused", 6,
                "settings 5 by ann was proposed first on the same parent", 5, List.of(), List.of()));
        samples.put("reply-told", new Packet.Reply(79, "told", 0, "", 3, List.of(FIRST, SECOND),
                List.of("settings 4: no verdict came from g2, g3")));
        return samples;
    }

    private static Map<String, byte[]> written() {
        Map<String, byte[]> written = new LinkedHashMap<>();
        samples().forEach((name, packet) -> written.put(name, Packet.write(packet)));
        return written;
    }

    @Test
    public void whatIsSentIsWhatWasSent() throws Exception {
        Golden.assertSame(FILE, written());
    }

    @Test
    public void whatWasSentIsReadAndWrittenAlike() throws Exception {
        Map<String, Packet> samples = samples();
        for (Map.Entry<String, byte[]> sent : Golden.read(FILE).entrySet()) {
            Packet read = Packet.read(sent.getValue());
            assertEquals(sent.getKey(), Golden.hex(sent.getValue()), Golden.hex(Packet.write(read)));
            if (!(read instanceof Packet.Log)) { // an array is equal to itself alone
                assertEquals(samples.get(sent.getKey()), read);
            }
        }
    }

    @Test
    public void aFrameIsItsLengthItsChecksumAndItsBytes() throws Exception {
        Map<String, byte[]> frames = new LinkedHashMap<>();
        frames.put("beat", Link.frame(new byte[0]));
        frames.put("hello", Link.frame(Packet.write(samples().get("hello"))));
        Golden.assertSame("frames.hex", frames);
    }
}

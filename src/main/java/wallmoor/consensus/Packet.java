package wallmoor.consensus;

import java.util.ArrayList;
import java.util.List;
import wallmoor.rules.ByteReader;
import wallmoor.rules.ByteWriter;
import wallmoor.rules.CorruptDataException;
import wallmoor.rules.LeaseMessage;
import wallmoor.rules.LeaseMessageCodec;
import wallmoor.rules.LogEntry;
import wallmoor.rules.LogEntryCodec;
import wallmoor.rules.RuleDocument;
import wallmoor.rules.RuleProposal;

/** What processes of a group say to each other over a link; all of it is read as if anybody could have sent it. */
sealed interface Packet {
    /** A number that both ends must read alike. */
    long MAGIC = 0x574d72756c657331L;

    /** The first on each link, both ways. {@code group} is the same of all that may talk to each other. */
    record Handshake(String group, String name, long incarnation) implements Packet {}

    /** Of the log's library. */
    record RaftEnvelope(byte[] message) implements Packet {}

    /** Of the deciders. */
    record LeaseEnvelope(LeaseMessage message) implements Packet {}

    /** This voter does not lead; who does, as far as it knows. */
    record NotLeader(String leader) implements Packet {}

    /** A voter asks the leader to put its verdict into the log. */
    record ForwardedVerdict(LogEntry.VoterVerdict entry) implements Packet {}

    /** A voter that has nothing kept asks for the other's term. */
    record TermRequest() implements Packet {}

    /** The term. */
    record TermResponse(int term) implements Packet {}

    /**
     * Somebody at a gatherer's control port asks the leader: to propose, or where {@code proposal} is null for what
     * there is.
     */
    record ClientRequest(long id, String name, RuleProposal proposal) implements Packet {}

    /**
     * The answer.
     *
     * @param state    {@code acts}, {@code accepted}, {@code pending}, {@code refused} or {@code told}
     * @param number   of the version that it is about
     * @param reason      of what was refused
     * @param acting   the number of the version that acts
     * @param versions that are kept, where it was told
     * @param refused  sentences on what was refused of late, where it was told
     */
    record ClientResponse(long id, String state, long number, String reason, long acting, List<RuleDocument> versions,
            List<String> refused)
            implements
                Packet {}

    /** As a frame carries it. */
    static byte[] encode(Packet packet) {
        var to = new ByteWriter();
        if (packet instanceof Handshake p) {
            to.writeLong(1).writeLong(MAGIC).writeText(p.group()).writeText(p.name()).writeLong(p.incarnation());
        } else if (packet instanceof RaftEnvelope p) {
            to.writeLong(2).writeBytes(p.message());
        } else if (packet instanceof LeaseEnvelope p) {
            to.writeLong(3).writeBytes(LeaseMessageCodec.encode(p.message()));
        } else if (packet instanceof NotLeader p) {
            to.writeLong(4).writeText(p.leader());
        } else if (packet instanceof ForwardedVerdict p) {
            to.writeLong(5).writeBytes(LogEntryCodec.encode(p.entry()));
        } else if (packet instanceof TermRequest) {
            to.writeLong(6);
        } else if (packet instanceof TermResponse p) {
            to.writeLong(7).writeLong(p.term());
        } else if (packet instanceof ClientRequest p) {
            to.writeLong(8).writeLong(p.id()).writeText(p.name()).writeBytes(p.proposal() == null ? new byte[0]
                    : LogEntryCodec.encode(new LogEntry.ProposeVersion(p.proposal())));
        } else if (packet instanceof ClientResponse p) {
            to.writeLong(9).writeLong(p.id()).writeText(p.state()).writeLong(p.number()).writeText(p.reason())
                    .writeLong(p.acting()).writeLong(p.versions().size());
            p.versions().forEach(to::writeDocument);
            to.writeLong(p.refused().size());
            p.refused().forEach(to::writeText);
        }
        return to.toByteArray();
    }

    /** What a frame carried. */
    static Packet decode(byte[] bytes) throws CorruptDataException {
        var from = new ByteReader(bytes);
        int type = (int) from.readLong();
        Packet packet = switch (type) {
            case 1 -> {
                if (from.readLong() != MAGIC) {
                    throw new CorruptDataException("no hello of this program's", 0);
                }
                yield new Handshake(from.readText(), from.readText(), from.readLong());
            }
            case 2 -> new RaftEnvelope(from.readBytes());
            case 3 -> new LeaseEnvelope(LeaseMessageCodec.decode(from.readBytes()));
            case 4 -> new NotLeader(from.readText());
            case 5 -> {
                if (!(LogEntryCodec.decode(from.readBytes()) instanceof LogEntry.VoterVerdict v)) {
                    throw new CorruptDataException("no verdict", 0);
                }
                yield new ForwardedVerdict(v);
            }
            case 6 -> new TermRequest();
            case 7 -> new TermResponse((int) from.readLong());
            case 8 -> request(from);
            case 9 -> reply(from);
            default -> throw new CorruptDataException("a packet of unknown type " + type, 0);
        };
        from.expectEnd();
        return packet;
    }

    private static ClientRequest request(ByteReader from) throws CorruptDataException {
        long id = from.readLong();
        String name = from.readText();
        byte[] entry = from.readBytes();
        if (entry.length == 0) {
            return new ClientRequest(id, name, null);
        }
        if (!(LogEntryCodec.decode(entry) instanceof LogEntry.ProposeVersion p)) {
            throw new CorruptDataException("no proposal", 0);
        }
        return new ClientRequest(id, name, p.proposal());
    }

    private static ClientResponse reply(ByteReader from) throws CorruptDataException {
        long id = from.readLong();
        String state = from.readText();
        long number = from.readLong();
        String why = from.readText();
        long acting = from.readLong();
        var versions = new ArrayList<RuleDocument>();
        for (long n = from.readCount(); n > 0; n--) {
            versions.add(from.readDocument());
        }
        var refused = new ArrayList<String>();
        for (long n = from.readCount(); n > 0; n--) {
            refused.add(from.readText());
        }
        return new ClientResponse(id, state, number, why, acting, List.copyOf(versions), List.copyOf(refused));
    }
}

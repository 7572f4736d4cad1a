package wallmoor.consensus;

import java.util.ArrayList;
import java.util.List;
import wallmoor.rules.ByteReader;
import wallmoor.rules.ByteWriter;
import wallmoor.rules.CorruptDataException;
import wallmoor.rules.LeaseMessageCodec;
import wallmoor.rules.LogEntry;
import wallmoor.rules.LogEntryCodec;
import wallmoor.rules.RuleDocument;

/** Encodes packets to frame payloads and decodes them. The decoder treats its input as untrusted. */
final class PacketCodec {
    /** The first field of a handshake, {@code WMrules1} in ASCII, which identifies the protocol. */
    private static final long MAGIC = 0x574d72756c657331L;
    private static final int HANDSHAKE = 1;
    private static final int RAFT_ENVELOPE = 2;
    private static final int LEASE_ENVELOPE = 3;
    private static final int NOT_LEADER = 4;
    private static final int FORWARDED_VERDICT = 5;
    private static final int TERM_REQUEST = 6;
    private static final int TERM_RESPONSE = 7;
    private static final int CLIENT_REQUEST = 8;
    private static final int CLIENT_RESPONSE = 9;

    private PacketCodec() {}

    static byte[] encode(Packet packet) {
        var to = new ByteWriter();
        if (packet instanceof Packet.Handshake handshake) {
            to.writeLong(HANDSHAKE).writeLong(MAGIC).writeText(handshake.group()).writeText(handshake.name())
                    .writeLong(handshake.incarnation());
        } else if (packet instanceof Packet.RaftEnvelope envelope) {
            to.writeLong(RAFT_ENVELOPE).writeBytes(envelope.message());
        } else if (packet instanceof Packet.LeaseEnvelope envelope) {
            to.writeLong(LEASE_ENVELOPE).writeBytes(LeaseMessageCodec.encode(envelope.message()));
        } else if (packet instanceof Packet.NotLeader redirect) {
            to.writeLong(NOT_LEADER).writeText(redirect.leader());
        } else if (packet instanceof Packet.ForwardedVerdict verdict) {
            to.writeLong(FORWARDED_VERDICT).writeBytes(LogEntryCodec.encode(verdict.entry()));
        } else if (packet instanceof Packet.TermRequest) {
            to.writeLong(TERM_REQUEST);
        } else if (packet instanceof Packet.TermResponse response) {
            to.writeLong(TERM_RESPONSE).writeLong(response.term());
        } else if (packet instanceof Packet.ClientRequest request) {
            encodeRequest(to, request);
        } else if (packet instanceof Packet.ClientResponse response) {
            encodeResponse(to, response);
        }
        return to.toByteArray();
    }

    private static void encodeRequest(ByteWriter to, Packet.ClientRequest request) {
        byte[] proposal = request.proposal() == null ? new byte[0]
                : LogEntryCodec.encode(new LogEntry.ProposeVersion(request.proposal()));
        to.writeLong(CLIENT_REQUEST).writeLong(request.id()).writeText(request.name()).writeBytes(proposal);
    }

    private static void encodeResponse(ByteWriter to, Packet.ClientResponse response) {
        to.writeLong(CLIENT_RESPONSE).writeLong(response.id()).writeText(response.state())
                .writeLong(response.version()).writeText(response.reason()).writeLong(response.activeVersion());
        to.writeLong(response.versions().size());
        response.versions().forEach(to::writeDocument);
        to.writeLong(response.rejected().size());
        response.rejected().forEach(to::writeText);
    }

    /**
     * Returns the decoded packet.
     *
     * @throws CorruptDataException if the payload is not a valid packet
     */
    static Packet decode(byte[] payload) throws CorruptDataException {
        var from = new ByteReader(payload);
        int type = (int) from.readLong();
        Packet packet = switch (type) {
            case HANDSHAKE -> decodeHandshake(from);
            case RAFT_ENVELOPE -> new Packet.RaftEnvelope(from.readBytes());
            case LEASE_ENVELOPE -> new Packet.LeaseEnvelope(LeaseMessageCodec.decode(from.readBytes()));
            case NOT_LEADER -> new Packet.NotLeader(from.readText());
            case FORWARDED_VERDICT -> decodeVerdict(from);
            case TERM_REQUEST -> new Packet.TermRequest();
            case TERM_RESPONSE -> new Packet.TermResponse((int) from.readLong());
            case CLIENT_REQUEST -> decodeRequest(from);
            case CLIENT_RESPONSE -> decodeResponse(from);
            default -> throw new CorruptDataException("unknown packet type " + type, 0);
        };
        from.expectEnd();
        return packet;
    }

    private static Packet decodeHandshake(ByteReader from) throws CorruptDataException {
        if (from.readLong() != MAGIC) {
            throw new CorruptDataException("handshake does not begin with the protocol's magic number", 0);
        }
        return new Packet.Handshake(from.readText(), from.readText(), from.readLong());
    }

    private static Packet decodeVerdict(ByteReader from) throws CorruptDataException {
        if (LogEntryCodec.decode(from.readBytes()) instanceof LogEntry.VoterVerdict verdict) {
            return new Packet.ForwardedVerdict(verdict);
        }
        throw new CorruptDataException("forwarded log entry is not a voter's verdict", 0);
    }

    private static Packet decodeRequest(ByteReader from) throws CorruptDataException {
        long id = from.readLong();
        String name = from.readText();
        byte[] entry = from.readBytes();
        if (entry.length == 0) {
            return new Packet.ClientRequest(id, name, null);
        }
        if (LogEntryCodec.decode(entry) instanceof LogEntry.ProposeVersion proposed) {
            return new Packet.ClientRequest(id, name, proposed.proposal());
        }
        throw new CorruptDataException("log entry of a client request is not a proposal", 0);
    }

    private static Packet decodeResponse(ByteReader from) throws CorruptDataException {
        long id = from.readLong();
        String state = from.readText();
        long version = from.readLong();
        String reason = from.readText();
        long activeVersion = from.readLong();
        var versions = new ArrayList<RuleDocument>();
        for (long n = from.readCount(); n > 0; n--) {
            versions.add(from.readDocument());
        }
        var rejected = new ArrayList<String>();
        for (long n = from.readCount(); n > 0; n--) {
            rejected.add(from.readText());
        }
        return new Packet.ClientResponse(id, state, version, reason, activeVersion, List.copyOf(versions),
                List.copyOf(rejected));
    }
}

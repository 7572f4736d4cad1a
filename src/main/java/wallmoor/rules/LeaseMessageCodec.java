package wallmoor.rules;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import wallmoor.rules.LeaseMessage.KnownVersion;
import wallmoor.rules.LeaseMessage.LeaseDenial;
import wallmoor.rules.LeaseMessage.LeaseGrant;
import wallmoor.rules.LeaseMessage.LeaseRequest;
import wallmoor.rules.LeaseMessage.VersionUpdate;

/** What gatherers and voters say as bytes, and what a gatherer knows as records of a file; none of it is trusted. */
public final class LeaseMessageCodec {
    private static final int ASK = 1;
    private static final int GRANT = 2;
    private static final int DENIED = 3;
    private static final int NEWS = 4;

    private LeaseMessageCodec() {}

    /** A message as it is sent. */
    public static byte[] encode(LeaseMessage message) {
        var to = new LogEntryCodec.ByteWriter().writeLong(LogEntryCodec.FORMAT_VERSION);
        if (message instanceof LeaseRequest a) {
            to.writeLong(ASK).writeText(a.holder()).writeLong(a.incarnation()).writeLong(a.sequence())
                    .writeLong(a.knownVersions().size());
            a.knownVersions().forEach((name, k) -> to.writeText(name).writeLong(k.version()).writeText(k.hash()));
        } else if (message instanceof LeaseGrant g) {
            to.writeLong(GRANT).writeText(g.holder()).writeLong(g.incarnation()).writeLong(g.sequence());
            chains(to, g.chains());
        } else if (message instanceof LeaseDenial d) {
            to.writeLong(DENIED).writeText(d.holder()).writeLong(d.incarnation()).writeLong(d.sequence())
                    .writeText(d.reason());
        } else if (message instanceof VersionUpdate n) {
            to.writeLong(NEWS);
            chains(to, n.chains());
        }
        return to.toByteArray();
    }

    /** The message that was written. */
    public static LeaseMessage decode(byte[] bytes) throws CorruptDataException {
        var from = new LogEntryCodec.ByteReader(bytes).readFormatVersion();
        long type = from.readLong();
        LeaseMessage message;
        if (type == ASK) {
            String holder = from.readText();
            long life = from.readLong();
            long seq = from.readLong();
            Map<String, KnownVersion> known = new HashMap<>();
            for (long n = from.readCount(); n > 0; n--) {
                known.put(from.readText(), new KnownVersion(from.readLong(), from.readText()));
            }
            message = new LeaseRequest(holder, life, seq, known);
        } else if (type == GRANT) {
            message = new LeaseGrant(from.readText(), from.readLong(), from.readLong(), chains(from));
        } else if (type == DENIED) {
            message = new LeaseDenial(from.readText(), from.readLong(), from.readLong(), from.readText());
        } else if (type == NEWS) {
            message = new VersionUpdate(chains(from));
        } else {
            throw new CorruptDataException("a message of unknown type " + type, Long.BYTES);
        }
        from.expectEnd();
        return message;
    }

    /** What a gatherer knows, as a file's records. */
    public static List<byte[]> encodeKnownVersions(List<VersionChain> known) {
        return known.stream().map(c -> {
            var to = new LogEntryCodec.ByteWriter().writeLong(LogEntryCodec.FORMAT_VERSION);
            chains(to, List.of(c));
            return to.toByteArray();
        }).toList();
    }

    /** What was kept. */
    public static List<VersionChain> decodeKnownVersions(List<byte[]> records) throws CorruptDataException {
        var all = new ArrayList<VersionChain>();
        for (byte[] r : records) {
            var from = new LogEntryCodec.ByteReader(r).readFormatVersion();
            all.addAll(chains(from));
            from.expectEnd();
        }
        return List.copyOf(all);
    }

    private static void chains(LogEntryCodec.ByteWriter to, List<VersionChain> chains) {
        to.writeLong(chains.size());
        for (VersionChain c : chains) {
            to.writeText(c.name()).writeLong(c.activeVersion()).writeLong(c.latestVersion())
                    .writeLong(c.documents().size());
            c.documents().forEach(to::writeDocument);
        }
    }

    private static List<VersionChain> chains(LogEntryCodec.ByteReader from) throws CorruptDataException {
        var chains = new ArrayList<VersionChain>();
        for (long n = from.readCount(); n > 0; n--) {
            String name = from.readText();
            long acts = from.readLong();
            long last = from.readLong();
            var documents = new ArrayList<RuleDocument>();
            for (long d = from.readCount(); d > 0; d--) {
                documents.add(from.readDocument());
            }
            chains.add(new VersionChain(name, acts, last, documents));
        }
        return List.copyOf(chains);
    }
}

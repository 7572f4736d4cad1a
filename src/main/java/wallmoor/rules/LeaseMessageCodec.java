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

/**
 * Binary codec of {@link LeaseMessage}, and of the version chains that a lease holder stores over a restart. Neither
 * the type numbers nor the order of fields may change: gatherers of another release read them.
 */
public final class LeaseMessageCodec {
    private static final int REQUEST = 1;
    private static final int GRANT = 2;
    private static final int DENIAL = 3;
    private static final int UPDATE = 4;

    private LeaseMessageCodec() {}

    /** Encodes a message as it is sent. */
    public static byte[] encode(LeaseMessage message) {
        var to = new ByteWriter().writeLong(LogEntryCodec.FORMAT_VERSION);
        if (message instanceof LeaseRequest request) {
            to.writeLong(REQUEST).writeText(request.holder()).writeLong(request.incarnation())
                    .writeLong(request.sequence());
            writeKnownVersions(to, request.knownVersions());
        } else if (message instanceof LeaseGrant grant) {
            to.writeLong(GRANT).writeText(grant.holder()).writeLong(grant.incarnation()).writeLong(grant.sequence());
            writeChains(to, grant.chains());
        } else if (message instanceof LeaseDenial denial) {
            to.writeLong(DENIAL).writeText(denial.holder()).writeLong(denial.incarnation())
                    .writeLong(denial.sequence()).writeText(denial.reason());
        } else if (message instanceof VersionUpdate update) {
            to.writeLong(UPDATE);
            writeChains(to, update.chains());
        }
        return to.toByteArray();
    }

    /**
     * Decodes a message.
     *
     * @throws CorruptDataException if the bytes are not exactly one message of this format version
     */
    public static LeaseMessage decode(byte[] bytes) throws CorruptDataException {
        var from = new ByteReader(bytes).readFormatVersion();
        LeaseMessage message = readMessage(from, from.readLong());
        from.expectEnd();
        return message;
    }

    /** Encodes what a lease holder knows as the records of a file, one for each document. */
    public static List<byte[]> encodeKnownVersions(List<VersionChain> known) {
        return known.stream().map(LeaseMessageCodec::encodeChain).toList();
    }

    /**
     * Decodes the records of such a file.
     *
     * @throws CorruptDataException if a record is not what {@link #encodeKnownVersions} wrote
     */
    public static List<VersionChain> decodeKnownVersions(List<byte[]> records) throws CorruptDataException {
        var all = new ArrayList<VersionChain>();
        for (byte[] record : records) {
            var from = new ByteReader(record).readFormatVersion();
            all.addAll(readChains(from));
            from.expectEnd();
        }
        return List.copyOf(all);
    }

    private static byte[] encodeChain(VersionChain chain) {
        var to = new ByteWriter().writeLong(LogEntryCodec.FORMAT_VERSION);
        writeChains(to, List.of(chain));
        return to.toByteArray();
    }

    private static LeaseMessage readMessage(ByteReader from, long type) throws CorruptDataException {
        if (type == REQUEST) {
            return new LeaseRequest(from.readText(), from.readLong(), from.readLong(), readKnownVersions(from));
        } else if (type == GRANT) {
            return new LeaseGrant(from.readText(), from.readLong(), from.readLong(), readChains(from));
        } else if (type == DENIAL) {
            return new LeaseDenial(from.readText(), from.readLong(), from.readLong(), from.readText());
        } else if (type == UPDATE) {
            return new VersionUpdate(readChains(from));
        }
        throw new CorruptDataException("a message of unknown type " + type, Long.BYTES);
    }

    private static void writeKnownVersions(ByteWriter to, Map<String, KnownVersion> known) {
        to.writeLong(known.size());
        known.forEach((name, version) -> to.writeText(name).writeLong(version.version()).writeText(version.hash()));
    }

    private static Map<String, KnownVersion> readKnownVersions(ByteReader from) throws CorruptDataException {
        var known = new HashMap<String, KnownVersion>();
        for (long left = from.readCount(); left > 0; left--) {
            known.put(from.readText(), new KnownVersion(from.readLong(), from.readText()));
        }
        return known;
    }

    private static void writeChains(ByteWriter to, List<VersionChain> chains) {
        to.writeLong(chains.size());
        for (VersionChain chain : chains) {
            to.writeText(chain.name()).writeLong(chain.activeVersion()).writeLong(chain.latestVersion())
                    .writeLong(chain.documents().size());
            chain.documents().forEach(to::writeDocument);
        }
    }

    private static List<VersionChain> readChains(ByteReader from) throws CorruptDataException {
        var chains = new ArrayList<VersionChain>();
        for (long left = from.readCount(); left > 0; left--) {
            chains.add(new VersionChain(from.readText(), from.readLong(), from.readLong(), readDocuments(from)));
        }
        return List.copyOf(chains);
    }

    private static List<RuleDocument> readDocuments(ByteReader from) throws CorruptDataException {
        var documents = new ArrayList<RuleDocument>();
        for (long left = from.readCount(); left > 0; left--) {
            documents.add(from.readDocument());
        }
        return documents;
    }
}

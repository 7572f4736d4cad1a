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
 * Binary codec of {@link LeaseMessage}, and of the version chains that a lease holder stores for its next process. The
 * type numbers and the order of fields must not change, as gatherers of other releases read them.
 */
public final class LeaseMessageCodec {
    private static final int REQUEST = 1;
    private static final int GRANT = 2;
    private static final int DENIAL = 3;
    private static final int UPDATE = 4;

    private LeaseMessageCodec() {}

    /** Encodes a message for the network. */
    public static byte[] encode(LeaseMessage message) {
        var writer = new ByteWriter().writeLong(LogEntryCodec.FORMAT_VERSION);
        if (message instanceof LeaseRequest request) {
            writer.writeLong(REQUEST).writeText(request.holder()).writeLong(request.incarnation())
                    .writeLong(request.sequence());
            writeKnownVersions(writer, request.knownVersions());
        } else if (message instanceof LeaseGrant grant) {
            writer.writeLong(GRANT).writeText(grant.holder()).writeLong(grant.incarnation())
                    .writeLong(grant.sequence());
            writeChains(writer, grant.chains());
        } else if (message instanceof LeaseDenial denial) {
            writer.writeLong(DENIAL).writeText(denial.holder()).writeLong(denial.incarnation())
                    .writeLong(denial.sequence()).writeText(denial.reason());
        } else if (message instanceof VersionUpdate update) {
            writer.writeLong(UPDATE);
            writeChains(writer, update.chains());
        }
        return writer.toByteArray();
    }

    /**
     * Decodes a message.
     *
     * @throws CorruptDataException if the bytes are not exactly one message of this format version
     */
    public static LeaseMessage decode(byte[] bytes) throws CorruptDataException {
        var reader = new ByteReader(bytes).readFormatVersion();
        LeaseMessage message = readMessage(reader, reader.readLong());
        reader.expectEnd();
        return message;
    }

    /** Encodes the versions that a lease holder knows as the records of a file, one for each document. */
    public static List<byte[]> encodeKnownVersions(List<VersionChain> known) {
        return known.stream().map(LeaseMessageCodec::encodeChain).toList();
    }

    /**
     * Decodes the records of a file of known versions.
     *
     * @throws CorruptDataException if {@link #encodeKnownVersions} can't have written a record
     */
    public static List<VersionChain> decodeKnownVersions(List<byte[]> records) throws CorruptDataException {
        var all = new ArrayList<VersionChain>();
        for (byte[] record : records) {
            var reader = new ByteReader(record).readFormatVersion();
            all.addAll(readChains(reader));
            reader.expectEnd();
        }
        return List.copyOf(all);
    }

    private static byte[] encodeChain(VersionChain chain) {
        var writer = new ByteWriter().writeLong(LogEntryCodec.FORMAT_VERSION);
        writeChains(writer, List.of(chain));
        return writer.toByteArray();
    }

    private static LeaseMessage readMessage(ByteReader reader, long type) throws CorruptDataException {
        if (type == REQUEST) {
            return new LeaseRequest(reader.readText(), reader.readLong(), reader.readLong(), readKnownVersions(reader));
        } else if (type == GRANT) {
            return new LeaseGrant(reader.readText(), reader.readLong(), reader.readLong(), readChains(reader));
        } else if (type == DENIAL) {
            return new LeaseDenial(reader.readText(), reader.readLong(), reader.readLong(), reader.readText());
        } else if (type == UPDATE) {
            return new VersionUpdate(readChains(reader));
        }
        throw new CorruptDataException("unknown lease message type " + type, Long.BYTES);
    }

    private static void writeKnownVersions(ByteWriter writer, Map<String, KnownVersion> known) {
        writer.writeLong(known.size());
        known.forEach((name, version) -> writer.writeText(name).writeLong(version.version()).writeText(version.hash()));
    }

    private static Map<String, KnownVersion> readKnownVersions(ByteReader reader) throws CorruptDataException {
        var known = new HashMap<String, KnownVersion>();
        for (long remaining = reader.readCount(); remaining > 0; remaining--) {
            known.put(reader.readText(), new KnownVersion(reader.readLong(), reader.readText()));
        }
        return known;
    }

    private static void writeChains(ByteWriter writer, List<VersionChain> chains) {
        writer.writeLong(chains.size());
        for (VersionChain chain : chains) {
            writer.writeText(chain.name()).writeLong(chain.activeVersion()).writeLong(chain.latestVersion())
                    .writeLong(chain.documents().size());
            chain.documents().forEach(writer::writeDocument);
        }
    }

    private static List<VersionChain> readChains(ByteReader reader) throws CorruptDataException {
        var chains = new ArrayList<VersionChain>();
        for (long remaining = reader.readCount(); remaining > 0; remaining--) {
            chains.add(
                    new VersionChain(reader.readText(), reader.readLong(), reader.readLong(), readDocuments(reader)));
        }
        return List.copyOf(chains);
    }

    private static List<RuleDocument> readDocuments(ByteReader reader) throws CorruptDataException {
        var documents = new ArrayList<RuleDocument>();
        for (long remaining = reader.readCount(); remaining > 0; remaining--) {
            documents.add(reader.readDocument());
        }
        return documents;
    }
}

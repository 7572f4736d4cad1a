package wallmoor.rules;

import wallmoor.rules.LogEntry.ActivateVersion;
import wallmoor.rules.LogEntry.CloseVerdicts;
import wallmoor.rules.LogEntry.LeaderElected;
import wallmoor.rules.LogEntry.ProposeVersion;
import wallmoor.rules.LogEntry.VoterVerdict;

/**
 * Binary codec of {@link LogEntry}: the format version, the type of the entry, then its fields in order. The bytes are
 * stored in the replicated log and sent between voters, so the type numbers and the order of fields must not change.
 */
public final class LogEntryCodec {
    /** Version of every binary format of this package; bytes of another version are rejected. */
    public static final long FORMAT_VERSION = 1;

    private static final int PROPOSE = 1;
    private static final int VERDICT = 2;
    private static final int CLOSE = 3;
    private static final int LEADER = 4;
    private static final int ACTIVATE = 5;

    private LogEntryCodec() {}

    /** Encodes an entry for the log. */
    public static byte[] encode(LogEntry entry) {
        var writer = new ByteWriter().writeLong(FORMAT_VERSION);
        if (entry instanceof ProposeVersion propose) {
            writer.writeLong(PROPOSE);
            writeProposal(writer, propose.proposal());
        } else if (entry instanceof VoterVerdict verdict) {
            writer.writeLong(VERDICT).writeText(verdict.voter()).writeText(verdict.name()).writeLong(verdict.version())
                    .writeText(verdict.hash()).writeText(verdict.objection());
        } else if (entry instanceof CloseVerdicts close) {
            writer.writeLong(CLOSE).writeLong(close.leaderEpoch()).writeText(close.name()).writeLong(close.version());
        } else if (entry instanceof LeaderElected elected) {
            writer.writeLong(LEADER).writeText(elected.voter()).writeLong(elected.incarnation());
        } else if (entry instanceof ActivateVersion activate) {
            writer.writeLong(ACTIVATE).writeLong(activate.leaderEpoch()).writeText(activate.name())
                    .writeLong(activate.version());
        }
        return writer.toByteArray();
    }

    /**
     * Decodes an entry.
     *
     * @throws CorruptDataException if the bytes are not exactly one entry of this format version
     */
    public static LogEntry decode(byte[] bytes) throws CorruptDataException {
        var reader = new ByteReader(bytes).readFormatVersion();
        LogEntry entry = readEntry(reader, reader.readLong());
        reader.expectEnd();
        return entry;
    }

    private static LogEntry readEntry(ByteReader reader, long type) throws CorruptDataException {
        if (type == PROPOSE) {
            return new ProposeVersion(readProposal(reader));
        } else if (type == VERDICT) {
            return new VoterVerdict(reader.readText(), reader.readText(), reader.readLong(), reader.readText(),
                    reader.readText());
        } else if (type == CLOSE) {
            return new CloseVerdicts(reader.readLong(), reader.readText(), reader.readLong());
        } else if (type == LEADER) {
            return new LeaderElected(reader.readText(), reader.readLong());
        } else if (type == ACTIVATE) {
            return new ActivateVersion(reader.readLong(), reader.readText(), reader.readLong());
        }
        throw new CorruptDataException("unknown log entry type " + type, Long.BYTES);
    }

    private static void writeProposal(ByteWriter writer, RuleProposal proposal) {
        writer.writeText(proposal.name()).writeLong(proposal.parentVersion()).writeText(proposal.parentHash())
                .writeText(proposal.author()).writeText(proposal.body()).writeText(proposal.fallback());
    }

    private static RuleProposal readProposal(ByteReader reader) throws CorruptDataException {
        return new RuleProposal(reader.readText(), reader.readLong(), reader.readText(), reader.readText(),
                reader.readText(), reader.readText());
    }
}

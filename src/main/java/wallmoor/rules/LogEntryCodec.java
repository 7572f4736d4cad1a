package wallmoor.rules;

import wallmoor.rules.LogEntry.ActivateVersion;
import wallmoor.rules.LogEntry.CloseVerdicts;
import wallmoor.rules.LogEntry.LeaderElected;
import wallmoor.rules.LogEntry.ProposeVersion;
import wallmoor.rules.LogEntry.VoterVerdict;

/**
 * Binary codec of {@link LogEntry}: the format version, the entry's type, then its fields in order. The bytes are
 * stored in the replicated log and sent between voters, so neither the type numbers nor the order of fields may change.
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

    /** Encodes an entry as the log carries it. */
    public static byte[] encode(LogEntry entry) {
        var to = new ByteWriter().writeLong(FORMAT_VERSION);
        if (entry instanceof ProposeVersion propose) {
            to.writeLong(PROPOSE);
            writeProposal(to, propose.proposal());
        } else if (entry instanceof VoterVerdict verdict) {
            to.writeLong(VERDICT).writeText(verdict.voter()).writeText(verdict.name()).writeLong(verdict.version())
                    .writeText(verdict.hash()).writeText(verdict.objection());
        } else if (entry instanceof CloseVerdicts close) {
            to.writeLong(CLOSE).writeLong(close.leaderEpoch()).writeText(close.name()).writeLong(close.version());
        } else if (entry instanceof LeaderElected elected) {
            to.writeLong(LEADER).writeText(elected.voter()).writeLong(elected.incarnation());
        } else if (entry instanceof ActivateVersion activate) {
            to.writeLong(ACTIVATE).writeLong(activate.leaderEpoch()).writeText(activate.name())
                    .writeLong(activate.version());
        }
        return to.toByteArray();
    }

    /**
     * Decodes an entry.
     *
     * @throws CorruptDataException if the bytes are not exactly one entry of this format version
     */
    public static LogEntry decode(byte[] bytes) throws CorruptDataException {
        var from = new ByteReader(bytes).readFormatVersion();
        LogEntry entry = readEntry(from, from.readLong());
        from.expectEnd();
        return entry;
    }

    private static LogEntry readEntry(ByteReader from, long type) throws CorruptDataException {
        if (type == PROPOSE) {
            return new ProposeVersion(readProposal(from));
        } else if (type == VERDICT) {
            return new VoterVerdict(from.readText(), from.readText(), from.readLong(), from.readText(),
                    from.readText());
        } else if (type == CLOSE) {
            return new CloseVerdicts(from.readLong(), from.readText(), from.readLong());
        } else if (type == LEADER) {
            return new LeaderElected(from.readText(), from.readLong());
        } else if (type == ACTIVATE) {
            return new ActivateVersion(from.readLong(), from.readText(), from.readLong());
        }
        throw new CorruptDataException("an entry of unknown type " + type, Long.BYTES);
    }

    private static void writeProposal(ByteWriter to, RuleProposal proposal) {
        to.writeText(proposal.name()).writeLong(proposal.parentVersion()).writeText(proposal.parentHash())
                .writeText(proposal.author()).writeText(proposal.body()).writeText(proposal.fallback());
    }

    private static RuleProposal readProposal(ByteReader from) throws CorruptDataException {
        return new RuleProposal(from.readText(), from.readLong(), from.readText(), from.readText(), from.readText(),
                from.readText());
    }
}

package wallmoor.consensus;

import java.util.List;
import java.util.Map;
import wallmoor.rules.EffectiveRule;
import wallmoor.rules.RuleSnapshot;
import wallmoor.rules.VersionChain;

/**
 * What a gatherer knows of the rules and of the consensus on them, as it was published last. Immutable.
 *
 * @param snapshot       what traffic acts on
 * @param known          the versions that are known
 * @param effectiveSince by document
 * @param leader         who gave the last lease, or who is asked for one
 * @param voterState     of a voting member, its state; else empty
 * @param leaseDenial    why the last lease request was denied, or empty
 * @param unreadable     documents that this program can't read, and why
 */
public record ConsensusStatus(RuleSnapshot snapshot, List<VersionChain> known,
        Map<String, EffectiveSince> effectiveSince, String leader, String voterState, String leaseDenial,
        Map<String, String> unreadable) {

    /**
     * How a document is in effect, and since when.
     *
     * @param atMillis wall clock, milliseconds since 1970
     */
    public record EffectiveSince(EffectiveRule.Basis basis, long activeVersion, long latestVersion, long atMillis) {
        boolean isOf(EffectiveRule rule) {
            return basis == rule.basis() && activeVersion == rule.activeVersion()
                    && latestVersion == rule.latestVersion();
        }
    }

    /** Keeps copies that nobody changes. */
    public ConsensusStatus {
        known = List.copyOf(known);
        effectiveSince = Map.copyOf(effectiveSince);
        unreadable = Map.copyOf(unreadable);
    }

    /** Before anything was heard. */
    static ConsensusStatus initial(RuleSnapshot snapshot, List<VersionChain> known) {
        return new ConsensusStatus(snapshot, known, Map.of(), "", "", "", Map.of());
    }
}

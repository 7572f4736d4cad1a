package wallmoor.consensus;

import java.util.List;
import java.util.Map;
import wallmoor.rules.EffectiveRule;
import wallmoor.rules.RuleSnapshot;
import wallmoor.rules.VersionChain;

/**
 * The last published state of the rules and of the consensus on them in one gatherer. Immutable.
 *
 * @param snapshot       the rules that traffic uses
 * @param known          the known versions of each document
 * @param effectiveSince how each document is in effect and since when, by document name
 * @param leader         the known leader, or the voter that lease requests are sent to
 * @param voterState     the state of a voting member; empty if this gatherer does not vote
 * @param leaseDenial    the reason for the denial of the last lease request, or empty
 * @param unreadable     the reason for each document that this program can't read, by document name
 */
public record ConsensusStatus(RuleSnapshot snapshot, List<VersionChain> known,
        Map<String, EffectiveSince> effectiveSince, String leader, String voterState, String leaseDenial,
        Map<String, String> unreadable) {

    /**
     * How a document is in effect, and since when.
     *
     * @param atMillis wall clock time of the last change, in milliseconds since 1970
     */
    public record EffectiveSince(EffectiveRule.Basis basis, long activeVersion, long latestVersion, long atMillis) {
        boolean isOf(EffectiveRule rule) {
            return basis == rule.basis() && activeVersion == rule.activeVersion()
                    && latestVersion == rule.latestVersion();
        }
    }

    /** Copies the collections, so that the status is immutable. */
    public ConsensusStatus {
        known = List.copyOf(known);
        effectiveSince = Map.copyOf(effectiveSince);
        unreadable = Map.copyOf(unreadable);
    }

    /** Returns the status before anything was received. */
    static ConsensusStatus initial(RuleSnapshot snapshot, List<VersionChain> known) {
        return new ConsensusStatus(snapshot, known, Map.of(), "", "", "", Map.of());
    }
}

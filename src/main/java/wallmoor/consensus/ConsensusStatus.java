package wallmoor.consensus;

import java.util.List;
import java.util.Map;
import wallmoor.rules.EffectiveRule;
import wallmoor.rules.RuleSnapshot;
import wallmoor.rules.VersionChain;

/**
 * What a gatherer holds of what is agreed on, as it was published last. Immutable.
 *
 * @param known      the versions that hold
 * @param since      wall clock, milliseconds, since when a document is gone by as it is
 * @param leader     who gave the last lease, or who is asked
 * @param voterState      of a voter, its state; else empty
 * @param leaseDenial     why no lease was given when last asked, or empty
 * @param unreadable documents that this program can't read, and why
 */
public record ConsensusStatus(RuleSnapshot snapshot, List<VersionChain> known, Map<String, EffectiveSince> since,
        String leader, String voterState,
        String leaseDenial,
        Map<String, String> unreadable) {

    /** How a document is gone by, and since when. */
    public record EffectiveSince(EffectiveRule.Basis basis, long from, long to, long atMillis) {}

    /** Keeps copies that nobody changes. */
    public ConsensusStatus {
        known = List.copyOf(known);
        since = Map.copyOf(since);
        unreadable = Map.copyOf(unreadable);
    }

    static ConsensusStatus of(RuleSnapshot snapshot, List<VersionChain> known) {
        return new ConsensusStatus(snapshot, known, Map.of(), "", "", "", Map.of());
    }
}

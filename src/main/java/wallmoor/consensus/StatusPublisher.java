package wallmoor.consensus;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import wallmoor.rules.EffectiveRule;
import wallmoor.rules.LeaseHolder;
import wallmoor.rules.RuleSnapshot;
import wallmoor.rules.VersionChain;

/**
 * Publishes the state of this gatherer as immutable snapshots, which any thread reads without waiting. The control
 * thread publishes.
 */
final class StatusPublisher {
    private final LeaseHolder holder;
    private final RuleChangeListener listener;
    private final Map<String, ConsensusStatus.EffectiveSince> effectiveSince = new HashMap<>();
    private volatile RuleSnapshot snapshot;
    private volatile ConsensusStatus status;

    StatusPublisher(LeaseHolder holder, RuleChangeListener listener) {
        this.holder = holder;
        this.listener = listener;
        snapshot = holder.snapshot();
        status = ConsensusStatus.initial(snapshot, holder.knownVersions());
    }

    /** Returns the rules that traffic may use. */
    RuleSnapshot snapshot() {
        return snapshot;
    }

    /** Returns the status shown to operators. */
    ConsensusStatus status() {
        return status;
    }

    /**
     * Publishes the current state, and notifies the listener of each document whose effect has changed.
     *
     * @param leader     the known or presumed leader
     * @param voterState the state of a voting member; empty if this gatherer does not vote
     */
    void publish(long nowMicros, String leader, String voterState) {
        snapshot = holder.snapshot();
        List<VersionChain> known = holder.knownVersions();
        boolean changed = false;
        for (VersionChain chain : known) {
            changed |= updateEffect(chain.name(), snapshot.effectiveRule(nowMicros, chain.name()));
        }
        ConsensusStatus last = status;
        if (changed || !last.snapshot().equals(snapshot) || !last.leader().equals(leader)
                || !last.voterState().equals(voterState) || !last.leaseDenial().equals(holder.denialReason())) {
            status = new ConsensusStatus(snapshot, known, effectiveSince, leader, voterState, holder.denialReason(),
                    holder.invalidDocuments());
        }
    }

    private boolean updateEffect(String document, EffectiveRule rule) {
        ConsensusStatus.EffectiveSince last = effectiveSince.get(document);
        boolean changed = last == null || !last.isOf(rule);
        if (changed) {
            effectiveSince.put(document, new ConsensusStatus.EffectiveSince(rule.basis(), rule.activeVersion(),
                    rule.latestVersion(), System.currentTimeMillis()));
            listener.onRuleChanged(document, rule);
        }
        return changed;
    }
}

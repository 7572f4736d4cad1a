package wallmoor.peers;

import java.util.ArrayList;
import java.util.Set;
import java.util.TreeSet;
import wallmoor.peers.MemberEvidence.ObserverReport;
import wallmoor.peers.MemberEvidence.ReportedState;
import wallmoor.peers.MembershipUpdate.Suspicion;

/** Collects the evidence for a member's state. */
final class EvidenceCollector {
    private final MembershipTable table;
    private final FailureDetector detector;

    EvidenceCollector(MembershipTable table, FailureDetector detector) {
        this.table = table;
        this.detector = detector;
    }

    /** Returns the evidence for this member's state, or null if no member of this name is known. */
    MemberEvidence explain(long now, String name) {
        MemberEntry entry = table.get(name);
        if (entry == null) {
            return null;
        }
        Set<String> observers = table.rings().observers(name);
        Set<String> witnesses = table.witnesses(name);
        var reporting = new TreeSet<>(observers);
        entry.suspicions().forEach(s -> reporting.add(s.observer()));
        var reports = new ArrayList<ObserverReport>();
        for (String observer : reporting) {
            reports.add(new ObserverReport(observer, observers.contains(observer), witnesses.contains(observer),
                    reportedState(entry.suspicionBy(observer))));
        }
        return new MemberEvidence(name, entry.address(), entry.announcement().incarnation(), entry.state(),
                entry.since(), witnesses.size(), Reachability.cutThreshold(witnesses.size()),
                detector.silenceMicros(now, name), reports);
    }

    private static ReportedState reportedState(Suspicion latest) {
        if (latest == null) {
            return ReportedState.NOTHING;
        }
        return latest.isActive() ? ReportedState.DOUBTS : ReportedState.HEARS_AGAIN;
    }
}

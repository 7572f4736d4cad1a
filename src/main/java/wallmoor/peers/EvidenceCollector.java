package wallmoor.peers;

import java.util.ArrayList;
import java.util.Set;
import java.util.TreeSet;
import wallmoor.peers.MemberEvidence.ObserverReport;
import wallmoor.peers.MemberEvidence.ReportedState;
import wallmoor.peers.MembershipUpdate.Suspicion;

/** Tells why a member is in its state. */
final class EvidenceCollector {
    private final MembershipTable table;
    private final FailureDetector detector;

    EvidenceCollector(MembershipTable table, FailureDetector detector) {
        this.table = table;
        this.detector = detector;
    }

    /** Why this member is in its state; null where there is none of this name. */
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
                    reported(entry.suspicionBy(observer))));
        }
        return new MemberEvidence(name, entry.address(), entry.announcement().incarnation(), entry.state(),
                entry.since(), witnesses.size(), Reachability.cutThreshold(witnesses.size()),
                detector.silence(now, name), reports);
    }

    private static ReportedState reported(Suspicion latest) {
        if (latest == null) {
            return ReportedState.NOTHING;
        }
        return latest.isActive() ? ReportedState.DOUBTS : ReportedState.HEARS_AGAIN;
    }
}

package wallmoor.peers;

import java.util.List;

/**
 * The evidence for a member's state in the view of another member.
 *
 * @param incarnation  the member's current incarnation
 * @param since        time when it entered its state, in microseconds on the protocol's clock
 * @param witnesses    number of its observers that are reachable
 * @param cutThreshold number of suspecting witnesses at which it is removed (Rapid: the high watermark H)
 * @param silentMicros microseconds since it last answered this member; negative if this member does not observe it
 * @param reports      reports of its observers, and of other members that reported on this incarnation
 */
public record MemberEvidence(String name, String address, long incarnation, GroupView.MemberState state, long since,
        int witnesses, int cutThreshold, long silentMicros, List<ObserverReport> reports) {
    /** The latest report of an observer. The control port writes these names in lower case. */
    public enum ReportedState {
        /** The observer suspects the member. */
        DOUBTS,
        /** The observer has withdrawn its suspicion. */
        HEARS_AGAIN,
        /** The observer has never suspected this incarnation. */
        NOTHING
    }

    /**
     * One member's latest report on another.
     *
     * @param isObserver whether the reporting member is an observer; the reports of others don't count
     * @param isWitness  whether its report counts now: it is an observer and reachable itself
     */
    public record ObserverReport(String name, boolean isObserver, boolean isWitness, ReportedState reported) {}
}

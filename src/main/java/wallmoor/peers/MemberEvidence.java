package wallmoor.peers;

import java.util.List;

/**
 * Why a member is in its state, as one other sees it.
 *
 * @param incarnation  that is meant
 * @param since        when it came to its state, in microseconds on the protocol's clock
 * @param witnesses    observers whose word counts
 * @param cutThreshold so many of them must suspect it before it is removed (Rapid: the high watermark H)
 * @param silentMicros microseconds since this member last heard it itself; negative where it does not observe it
 * @param reports      of its observers, and of others that reported on this incarnation
 */
public record MemberEvidence(String name, String address, long incarnation, GroupView.MemberState state, long since,
        int witnesses, int cutThreshold, long silentMicros, List<ObserverReport> reports) {
    /** What one reported last. The control port writes these names. */
    public enum ReportedState {
        /** That it does not hear the member. */
        DOUBTS,
        /** That it hears the member again. */
        HEARS_AGAIN,
        /** Nothing: it has heard the member all along. */
        NOTHING
    }

    /**
     * One member's report on another.
     *
     * @param isObserver whether it stands before the member on a ring; the word of others does not count
     * @param isWitness  whether its word counts now: most of its own observers hear it
     */
    public record ObserverReport(String name, boolean isObserver, boolean isWitness, ReportedState reported) {}
}

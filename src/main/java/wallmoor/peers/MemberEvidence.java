package wallmoor.peers;

import java.util.List;

/**
 * Why a member is where it is, as one other sees it.
 *
 * @param incarnation the life that is meant
 * @param state       what is held of it
 * @param since       when it came to that, on the decider's clock
 * @param witnesses   observers whose word counts
 * @param cutThreshold      of them must doubt it before it is removed
 * @param silentMicros     microseconds since this member last heard it itself; negative where it does not observe it
 * @param reports      its observers, and others that said something of this life
 */
public record MemberEvidence(String name, String address, long incarnation, GroupView.MemberState state, long since,
        int witnesses,
        int cutThreshold,
        long silentMicros, List<ObserverReport> reports) {
    /** What one of them said last. */
    public enum ReportedState {
        /** That it does not hear it. */
        DOUBTS,
        /** That it hears it again. */
        HEARS_AGAIN,
        /** Nothing: it has heard it all along. */
        NOTHING
    }

    /**
     * One of them.
     *
     * @param isObserver whether it stands before the member on a ring; the word of others does not count
     * @param isWitness  whether its word counts now: it is not doubted by several itself
     */
    public record ObserverReport(String name, boolean isObserver, boolean isWitness, ReportedState reported) {}
}

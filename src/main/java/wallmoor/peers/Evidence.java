package wallmoor.peers;

import java.util.List;

/**
 * Why a member is where it is, as one other sees it.
 *
 * @param incarnation the life that is meant
 * @param state       what is held of it
 * @param since       when it came to that, on the decider's clock
 * @param witnesses   observers whose word counts
 * @param needed      of them must doubt it before it is removed
 * @param unheard     microseconds since this member last heard it itself; negative where it does not observe it
 * @param voices      its observers, and others that said something of this life
 */
public record Evidence(String name, String address, long incarnation, View.State state, long since, int witnesses,
        int needed,
        long unheard, List<Voice> voices) {
    /** What one of them said last. */
    public enum Said {
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
     * @param observes whether it stands before the member on a ring; the word of others does not count
     * @param witness  whether its word counts now: it is not doubted by several itself
     */
    public record Voice(String name, boolean observes, boolean witness, Said said) {}
}

package wallmoor.moves;

import java.util.List;

/**
 * Where carrying out stands, for operators.
 *
 * @param version of the plan that acts
 * @param stuck   why nothing is planned, or an empty text
 * @param rate    bytes a second that copying may take now
 * @param last    why the last move was given up, or an empty text
 */
public record Status(long version, Phase phase, List<Moving> moves, String stuck, long rate, String last) {
    /** What is being done. */
    public enum Phase {
        UNKNOWN, PLANNING, MOVING, PAUSED, STOPPED, FINISHED, STUCK
    }

    /**
     * A move.
     *
     * @param there share of the copy that is there
     * @param waits for what, or an empty text
     */
    public record Moving(Carry carry, double there, String waits) {}

    public Status {
        moves = List.copyOf(moves);
    }
}

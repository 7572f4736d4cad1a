package wallmoor.placement;

import java.util.List;

/** What a fleet's planning came to. */
public sealed interface Answer {
    /**
     * Moves, legal in this order and by their waves.
     *
     * @param mb      what they copy, in megabytes
     * @param boundMb no plan copies less: proven
     * @param exact   proven to be the least: the two are equal
     */
    record Plan(List<Move> moves, long mb, long boundMb, boolean exact) implements Answer {}

    /**
     * No plan exists: proven.
     *
     * @param because  rules that no plan keeps together, whatever the others are
     * @param smallest no smaller set of rules is infeasible: proven
     */
    record Infeasible(List<Reason> because, boolean smallest) implements Answer {}

    /**
     * None was found, and none was shown not to exist.
     *
     * @param boundMb no plan copies less
     * @param states  how many placements were looked at
     */
    record NotFound(long boundMb, int states) implements Answer {}
}

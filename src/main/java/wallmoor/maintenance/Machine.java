package wallmoor.maintenance;

/**
 * A machine as it is seen now.
 *
 * @param centre    its data centre
 * @param capacity  above 0; of a gatherer it counts nothing
 * @param voter     whether it is one of the gatherers that vote
 * @param incarnation      what its process' start is known by: another one is a machine that was started again
 * @param phaseMillis  how long it has been seen in this phase, in milliseconds; an observer that began later says less
 * @param servingMillis how long it has served since its start, in milliseconds; an observer that can't know says less
 */
public record Machine(String id, MachineRole role, String centre, long capacity, boolean voter, MachinePhase phase,
        String incarnation,
        long phaseMillis, long servingMillis) {
    /** What a machine is for. */
    public enum MachineRole {
        /** It holds blocks. */
        NODE,
        /** It has clients. */
        GATHERER
    }

    /** What is known of it. */
    public enum MachinePhase {
        SERVING,
        /** It gets nothing new: no parts, or no clients. */
        DRAINING,
        /** It is not seen: crashed, cut off, taken out, or nobody says. */
        AWAY
    }

    boolean isNode() {
        return role == MachineRole.NODE;
    }
}

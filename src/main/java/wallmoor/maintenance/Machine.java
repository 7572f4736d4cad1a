package wallmoor.maintenance;

/**
 * A machine as it is observed now.
 *
 * @param centre        data centre
 * @param capacity      above 0, in any unit; counts for nodes alone
 * @param voter         whether it is a voting gatherer
 * @param incarnation   identifies a start of its process: another one is a machine that was restarted
 * @param phaseMillis   for how long it has been observed in this phase; less where the observer began later
 * @param servingMillis for how long it has served since its start; less where the observer cannot know
 */
public record Machine(String id, MachineRole role, String centre, long capacity, boolean voter, MachinePhase phase,
        String incarnation, long phaseMillis, long servingMillis) {
    /** What a machine is for. */
    public enum MachineRole {
        /** Holds blocks. */
        NODE,
        /** Has clients. */
        GATHERER
    }

    /** What is known of a machine. */
    public enum MachinePhase {
        SERVING,
        /** Gets nothing new: no parts, or no clients. */
        DRAINING,
        /** Not observed: crashed, cut off, taken out, or nobody reports. */
        AWAY
    }

    boolean isNode() {
        return role == MachineRole.NODE;
    }
}

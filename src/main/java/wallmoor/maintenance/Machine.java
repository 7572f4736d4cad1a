package wallmoor.maintenance;

/**
 * A machine as currently observed.
 *
 * @param centre        the data centre
 * @param capacity      positive, in any unit; relevant for nodes only
 * @param voter         whether the machine is a voting gatherer
 * @param incarnation   identifies a start of the process; a different value means that the machine was restarted
 * @param phaseMillis   how long the machine has been observed in this phase; less if the observer started later
 * @param servingMillis how long the machine has served since its start; less if the observer cannot know
 */
public record Machine(String id, MachineRole role, String centre, long capacity, boolean voter, MachinePhase phase,
        String incarnation, long phaseMillis, long servingMillis) {
    /** The role of a machine. */
    public enum MachineRole {
        /** Stores blocks. */
        NODE,
        /** Serves clients. */
        GATHERER
    }

    /** The observed phase of a machine. */
    public enum MachinePhase {
        SERVING,
        /** Receives no new work: no parts, or no clients. */
        DRAINING,
        /** Not observed: crashed, partitioned, taken out of service, or not reported. */
        AWAY
    }

    boolean isNode() {
        return role == MachineRole.NODE;
    }
}

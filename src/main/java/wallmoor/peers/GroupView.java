package wallmoor.peers;

import java.util.List;

/**
 * The members of the group and their states, as one member sees them.
 *
 * @param version        number of the view, which each change increases; it is local to this process
 * @param side           this member's side of a network partition, if it can be determined
 * @param reachable      number of members that this one reaches, including itself
 * @param configuredSize configured number of members
 * @param members        all known members in the order of their names, including those that left or were removed
 */
public record GroupView(long version, PartitionSide side, int reachable, int configuredSize, List<Member> members) {

    /** A side of a network partition. The log and the control port write these names. */
    public enum PartitionSide {
        /** More than half of the configured members are on this side. */
        LARGER,
        /** Fewer than half of the configured members are on this side. */
        SMALLER,
        /**
         * The side can't be determined: exactly half of the members are reachable; or more members are present than
         * configured; or this process was paused, is suspected by most of its observers, has given up its name, or may
         * lack information that others have.
         */
        CANT_TELL
    }

    /** State of a member. The log and the control port write these names. */
    public enum MemberState {
        /** The member takes part, and no reachable observer suspects it. */
        ALIVE,
        /** The member takes part, and at least one reachable observer suspects it. */
        SUSPECTED,
        /** The member has announced that it leaves. */
        LEFT,
        /** The member was removed and has not been admitted again. */
        REMOVED
    }

    /**
     * One member's state.
     *
     * @param since       time when it entered this state, in microseconds on the caller's clock
     * @param suspectedBy names of the reachable observers that suspect it
     */
    public record Member(String name, String address, long incarnation, MemberState state, long since,
            List<String> suspectedBy) {
        /** Returns whether the member takes part: it has neither left nor been removed. */
        public boolean isPresent() {
            return state == MemberState.ALIVE || state == MemberState.SUSPECTED;
        }
    }

    /**
     * Returns whether more than half of the configured members are on this side. Without a quorum no member is removed,
     * and no decision that depends on the group may take effect.
     */
    public boolean hasQuorum() {
        return side == PartitionSide.LARGER;
    }
}

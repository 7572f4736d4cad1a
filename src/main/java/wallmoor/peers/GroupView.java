package wallmoor.peers;

import java.util.List;

/**
 * Who is there, as one member sees it.
 *
 * @param version        of this process' own; each change has the next
 * @param side           this member's side of a network partition, as far as it can tell
 * @param reachable      members that this one reaches, itself included
 * @param configuredSize members that there are meant to be
 * @param members        by name
 */
public record GroupView(long version, PartitionSide side, int reachable, int configuredSize, List<Member> members) {

    /** A side of a network partition. The log and the control port write these names. */
    public enum PartitionSide {
        /** More than half of the group is here. */
        LARGER,
        /** Fewer than half are. */
        SMALLER,
        /**
         * Just half; or more members than there are meant to be; or this process was paused, or most don't hear it.
         */
        CANT_TELL
    }

    /** State of a member. The log and the control port write these names. */
    public enum MemberState {
        /** Takes part, and nobody whose word counts suspects it. */
        ALIVE,
        /** Takes part, and an observer suspects it. */
        SUSPECTED,
        /** Has left with notice. */
        LEFT,
        /** Was removed, and has not been admitted again. */
        REMOVED
    }

    /**
     * One member.
     *
     * @param since       when it came to this state, in microseconds on the caller's clock
     * @param suspectedBy observers that suspect it and whose word counts
     */
    public record Member(String name, String address, long incarnation, MemberState state, long since,
            List<String> suspectedBy) {
        /** Whether it takes part: it has neither left nor been removed. */
        public boolean isPresent() {
            return state == MemberState.ALIVE || state == MemberState.SUSPECTED;
        }
    }

    /**
     * Whether more than half of the group is on this side. Without a quorum nobody is removed, and no decision that
     * rests on the group may be put into force.
     */
    public boolean hasQuorum() {
        return side == PartitionSide.LARGER;
    }
}

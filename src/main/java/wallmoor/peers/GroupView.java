package wallmoor.peers;

import java.util.List;

/**
 * Who is there, as one member sees it.
 *
 * @param version   of this process' own; each change has the next
 * @param side  what this member's side of the group is, as far as it can tell
 * @param reachable members not in doubt, this one included
 * @param configuredSize      members that there are meant to be
 * @param members   by name
 */
public record GroupView(long version, PartitionSide side, int reachable, int configuredSize, List<Member> members) {

    /** A side's place in the group. */
    public enum PartitionSide {
        /** More than half of the group is here. */
        LARGER,
        /** Fewer than half are. */
        SMALLER,
        /**
         * Just half; or more members than there are meant to be; or this process has stood still, or most don't hear
         * it.
         */
        CANT_TELL
    }

    /** What is held of a member. */
    public enum MemberState { ALIVE, SUSPECTED, LEFT, REMOVED }

    /**
     * One member.
     *
     * @param since   when it came to this state, on the caller's clock
     * @param suspectedBy who does not hear it
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

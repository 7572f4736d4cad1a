package wallmoor.peers;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import wallmoor.peers.GroupView.MemberState;
import wallmoor.peers.GroupView.PartitionSide;

/**
 * Publishes this member's view: after a short time without further changes, so that related changes are published
 * together, or immediately if the side of a partition changes.
 */
final class ViewPublisher {
    private static final long NEVER = -1;

    private final MembershipParameters parameters;
    private final MembershipTable table;
    private final Quorum quorum;
    private final MembershipProtocol.Output output;
    /** Time of the first change that is not published yet; {@link #NEVER} if there is none. */
    private long unpublishedSince = NEVER;
    /** Time of the latest change. */
    private long changedAt;
    /** The sender of the message with the first unpublished change; null if no message caused it. */
    private String source;
    private GroupView view;

    ViewPublisher(MembershipParameters parameters, MembershipTable table, Quorum quorum,
            MembershipProtocol.Output output) {
        this.parameters = parameters;
        this.table = table;
        this.quorum = quorum;
        this.output = output;
    }

    /** Returns the latest published view. */
    GroupView view() {
        return view;
    }

    /** Records a change of the table. */
    void onTableChanged(long now) {
        unpublishedSince = hasUnpublishedChanges() ? unpublishedSince : now;
        changedAt = now;
    }

    boolean hasUnpublishedChanges() {
        return unpublishedSince != NEVER;
    }

    /** Records the sender of the message with the first unpublished change. */
    void setSource(String member) {
        source = member;
    }

    /** Publishes the view if a change is due. */
    void onTick(long now) {
        boolean isDue = hasUnpublishedChanges() && (now - changedAt >= parameters.probeInterval() / 2
                || now - unpublishedSince >= 2 * parameters.probeInterval());
        if (quorum.side(now) != view.side() || isDue) {
            publish(now, source == null ? "time" : "told by " + source);
        }
    }

    /**
     * Updates the view, and reports it if it has changed.
     *
     * @param cause what caused the change, for the log
     */
    void publish(long now, String cause) {
        unpublishedSince = NEVER;
        source = null;
        List<GroupView.Member> members = members(now);
        PartitionSide side = quorum.side(now);
        boolean isSame = view != null && view.side() == side && isSame(view.members(), members);
        long version = view == null ? 1 : isSame ? view.version() : view.version() + 1;
        view = new GroupView(version, side, table.reachableCount(), parameters.groupSize(), members);
        if (!isSame) {
            output.viewChanged(view, cause);
        }
    }

    private List<GroupView.Member> members(long now) {
        Map<String, Set<String>> suspected = table.suspected();
        var members = new ArrayList<GroupView.Member>();
        for (MemberEntry entry : table.entries()) {
            Set<String> suspectedBy = suspected.getOrDefault(entry.name(), Set.of());
            entry.enterState(stateOf(entry, !suspectedBy.isEmpty()), now);
            members.add(new GroupView.Member(entry.name(), entry.address(), entry.announcement().incarnation(),
                    entry.state(), entry.since(), suspectedBy.stream().sorted().toList()));
        }
        return members;
    }

    private static MemberState stateOf(MemberEntry entry, boolean isSuspected) {
        if (entry.announcement().hasLeft()) {
            return MemberState.LEFT;
        }
        if (entry.isRemoved() || entry.isRejoining()) {
            return MemberState.REMOVED;
        }
        return isSuspected ? MemberState.SUSPECTED : MemberState.ALIVE;
    }

    /**
     * Returns whether two lists of members are equal for subscribers. A further suspicion of a member that is already
     * suspected is no change, nor is a new incarnation of a removed member.
     */
    private static boolean isSame(List<GroupView.Member> before, List<GroupView.Member> after) {
        boolean isSame = before.size() == after.size();
        for (int i = 0; isSame && i < before.size(); i++) {
            isSame = isSame(before.get(i), after.get(i));
        }
        return isSame;
    }

    private static boolean isSame(GroupView.Member before, GroupView.Member after) {
        return before.name().equals(after.name()) && before.state() == after.state()
                && (before.incarnation() == after.incarnation() || before.state() == MemberState.REMOVED)
                && before.address().equals(after.address());
    }
}

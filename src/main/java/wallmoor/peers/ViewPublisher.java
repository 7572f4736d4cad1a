package wallmoor.peers;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import wallmoor.peers.GroupView.MemberState;
import wallmoor.peers.GroupView.PartitionSide;

/**
 * Publishes this member's view: once nothing new has come for a while, so that what belongs together is one change, or
 * at once where a quorum comes or goes.
 */
final class ViewPublisher {
    private static final long NEVER = -1;

    private final MembershipParameters parameters;
    private final MembershipTable table;
    private final Quorum quorum;
    private final MembershipProtocol.Output output;
    /** Since when something is known that the view does not hold; {@link #NEVER} where nothing is. */
    private long unpublishedSince = NEVER;
    private long learnedAt;
    /** The member that first told it; null where it came of time. */
    private String source;
    private GroupView view;

    ViewPublisher(MembershipParameters parameters, MembershipTable table, Quorum quorum,
            MembershipProtocol.Output output) {
        this.parameters = parameters;
        this.table = table;
        this.quorum = quorum;
        this.output = output;
    }

    /** The view as it was last published. */
    GroupView view() {
        return view;
    }

    /** The table has changed. */
    void learned(long now) {
        unpublishedSince = hasUnpublished() ? unpublishedSince : now;
        learnedAt = now;
    }

    boolean hasUnpublished() {
        return unpublishedSince != NEVER;
    }

    /** What is not published yet was first told by this member. */
    void learnedFrom(String member) {
        source = member;
    }

    /** Publishes what is due. */
    void onTick(long now) {
        boolean isDue = hasUnpublished() && (now - learnedAt >= parameters.probeInterval() / 2
                || now - unpublishedSince >= 2 * parameters.probeInterval());
        if (quorum.side(now) != view.side() || isDue) {
            publish(now, source == null ? "time" : "told by " + source);
        }
    }

    /** Publishes the view if it has changed; {@code why} is the evidence, for the log. */
    void publish(long now, String why) {
        unpublishedSince = NEVER;
        source = null;
        List<GroupView.Member> members = members(now);
        PartitionSide side = quorum.side(now);
        boolean isSame = view != null && view.side() == side && isSame(view.members(), members);
        long version = view == null ? 1 : isSame ? view.version() : view.version() + 1;
        view = new GroupView(version, side, table.reachableCount(), parameters.groupSize(), members);
        if (!isSame) {
            output.viewChanged(view, why);
        }
    }

    private List<GroupView.Member> members(long now) {
        Map<String, Set<String>> suspected = table.suspected();
        var members = new ArrayList<GroupView.Member>();
        for (MemberEntry entry : table.all()) {
            Set<String> suspectedBy = suspected.getOrDefault(entry.name(), Set.of());
            entry.enter(stateOf(entry, !suspectedBy.isEmpty()), now);
            members.add(new GroupView.Member(entry.name(), entry.address(), entry.announcement().incarnation(),
                    entry.state(), entry.since(), suspectedBy.stream().sorted().toList()));
        }
        return members;
    }

    private static MemberState stateOf(MemberEntry entry, boolean isSuspected) {
        if (entry.announcement().left()) {
            return MemberState.LEFT;
        }
        if (entry.isRemoved() || entry.isRejoining()) {
            return MemberState.REMOVED;
        }
        return isSuspected ? MemberState.SUSPECTED : MemberState.ALIVE;
    }

    /**
     * One more that suspects a suspected member is evidence, and no change; nor is what one that is removed says of
     * itself.
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

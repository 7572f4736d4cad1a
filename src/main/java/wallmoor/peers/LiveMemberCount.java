package wallmoor.peers;

import java.util.Set;
import java.util.TreeSet;

/**
 * Among how many gatherers the quotas that they have in common are divided, such as what a node that is warming up
 * may be sent, and this one's rank among them. Counted are those that are present in the view. Who joins counts at
 * once, so that the shares never add up to more than all; who goes counts on until the view has been stable for a
 * while, as the others may not know yet. Without a quorum, and until the view has been stable for as long after one
 * came back, the configured number holds. All who know the same members count the same and have different ranks.
 * Times are microseconds on the caller's clock.
 */
public final class LiveMemberCount {
    /**
     * This gatherer's position among those that divide what they have in common.
     *
     * @param memberCount gatherers that divide it, this one included
     * @param rank        this one's among them, from 0
     */
    public record GroupPosition(int memberCount, int rank) {}

    private final String self;
    private final GroupPosition configured;
    private final long stableTime;
    /** Those present in the last view; null without a quorum. */
    private Set<String> present;
    private long presentSince;
    /** Those that count; null where the configured number does. */
    private TreeSet<String> counted;

    /**
     * Nobody is known yet.
     *
     * @param self       this gatherer's name
     * @param configured what holds without a quorum
     * @param stableTime microseconds that the view must stay as it is before anybody ceases to count
     */
    public LiveMemberCount(String self, GroupPosition configured, long stableTime) {
        this.self = self;
        this.configured = configured;
        this.stableTime = stableTime;
    }

    /** The view has changed. */
    public void onView(long now, GroupView view) {
        Set<String> next = view.hasQuorum() ? presentMembers(view) : null;
        if (next == null || !next.equals(present)) {
            present = next;
            presentSince = now;
        }
        if (next == null) {
            counted = null;
        } else if (counted != null) {
            counted.addAll(next);
        }
    }

    private static Set<String> presentMembers(GroupView view) {
        var names = new TreeSet<String>();
        for (GroupView.Member member : view.members()) {
            if (member.isPresent()) {
                names.add(member.name());
            }
        }
        return names;
    }

    /** The position as it is now. */
    public GroupPosition position(long now) {
        if (present != null && now - presentSince >= stableTime) {
            counted = new TreeSet<>(present);
        }
        return counted == null || !counted.contains(self) ? configured
                : new GroupPosition(counted.size(), counted.headSet(self).size());
    }
}

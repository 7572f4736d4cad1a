package wallmoor.peers;

import java.util.Set;
import java.util.TreeSet;

/**
 * Among how many gatherers what they have in common is shared, such as what a cold node may be sent, and which place
 * this one has among them. Counted are those that the view holds to be there. Who joins counts at once, so that the
 * shares never add up to more than all; who goes counts on until the view has been steady for a while, as the others
 * may not know yet. Without a quorum, and until the view has been steady for as long after one came back, the
 * configured number holds. All who know the same members count the same and give each another place.
 */
public final class LiveMemberCount {
    /**
     * @param memberCount gatherers that share, this one included
     * @param rank this one's among them, from 0
     */
    public record GroupPosition(int memberCount, int rank) {}

    private final String self;
    private final GroupPosition configured;
    private final long steady;
    /** Those there by the last view; null without a quorum. */
    private Set<String> live;
    private long liveSince;
    /** Those that count; null where the configured number does. */
    private TreeSet<String> counted;

    /**
     * Nobody is known yet.
     *
     * @param self       this gatherer's name
     * @param configured what holds without a quorum
     * @param steady     the view must stay as it is for so long before anybody ceases to count
     */
    public LiveMemberCount(String self, GroupPosition configured, long steady) {
        this.self = self;
        this.configured = configured;
        this.steady = steady;
    }

    /** The view has changed. */
    public void onView(long now, GroupView view) {
        TreeSet<String> there = null;
        if (view.hasQuorum()) {
            there = new TreeSet<>();
            for (GroupView.Member m : view.members()) {
                if (m.isPresent()) {
                    there.add(m.name());
                }
            }
        }
        if (there == null || !there.equals(live)) {
            live = there;
            liveSince = now;
        }
        if (there == null) {
            counted = null;
        } else if (counted != null) {
            counted.addAll(there);
        }
    }

    /** The share as it is now. */
    public GroupPosition position(long now) {
        if (live != null && now - liveSince >= steady) {
            counted = new TreeSet<>(live);
        }
        return counted == null || !counted.contains(self) ? configured
                : new GroupPosition(counted.size(), counted.headSet(self).size());
    }
}

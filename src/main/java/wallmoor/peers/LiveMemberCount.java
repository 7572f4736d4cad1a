package wallmoor.peers;

import java.util.Set;
import java.util.TreeSet;

/**
 * Counts the gatherers that shared quotas are divided by, such as the request rate for a node in slow start, and ranks
 * this gatherer among them. A member that joins counts at once, so that the shares never add up to more than the quota.
 * A member that leaves or is removed counts until the view has been stable for {@code stableMicros}, because other
 * gatherers may not have noticed yet. Without a quorum, and until the view has been stable for the same time after the
 * quorum is regained, the configured count applies. Gatherers with the same view have the same count and different
 * ranks. Times are microseconds on the caller's clock.
 */
public final class LiveMemberCount {
    /**
     * This gatherer's position among the gatherers that share a quota.
     *
     * @param memberCount number of gatherers that share it, including this one
     * @param rank        this gatherer's rank by name, from 0
     */
    public record GroupPosition(int memberCount, int rank) {}

    private final String self;
    private final GroupPosition configured;
    private final long stableMicros;
    /** Names of the members that are present in the latest view; null without a quorum. */
    private Set<String> present;
    private long presentSince;
    /** Names of the members that are counted; null while the configured count applies. */
    private TreeSet<String> counted;

    /**
     * Creates a count that returns the configured position until a view with a quorum has been stable.
     *
     * @param self         this gatherer's name
     * @param configured   position that applies without a quorum
     * @param stableMicros microseconds without a change of the present members before absent members no longer count
     */
    public LiveMemberCount(String self, GroupPosition configured, long stableMicros) {
        this.self = self;
        this.configured = configured;
        this.stableMicros = stableMicros;
    }

    /** Processes a change of the view. */
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

    /** Returns the position at this time. */
    public GroupPosition position(long now) {
        if (present != null && now - presentSince >= stableMicros) {
            counted = new TreeSet<>(present);
        }
        return counted == null || !counted.contains(self) ? configured
                : new GroupPosition(counted.size(), counted.headSet(self).size());
    }
}

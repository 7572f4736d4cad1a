package wallmoor.peers;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

/** Selects members at random to send messages to, with the random source that all parts of the protocol share. */
final class PeerSelector {
    private final MembershipParameters parameters;
    private final MembershipTable table;
    private final String self;
    private final Random random;

    PeerSelector(MembershipParameters parameters, MembershipTable table, String self, Random random) {
        this.parameters = parameters;
        this.table = table;
        this.self = self;
        this.random = random;
    }

    /** Returns up to {@code maxCount} other members that are present. */
    List<MemberEntry> sample(int maxCount) {
        return sample(maxCount, Set.of(self));
    }

    /** Returns up to {@code maxCount} other members that are present, without the named one. */
    List<MemberEntry> sampleExcluding(String name, int maxCount) {
        return sample(maxCount, Set.of(self, name));
    }

    private List<MemberEntry> sample(int maxCount, Set<String> excluded) {
        return table.rings().sample(maxCount, excluded, random).stream().map(table::get).toList();
    }

    /**
     * Returns one other recently active member: a random one of those that were gossiped to longest ago, or empty if
     * none is active. An update is sent a limited number of times; with only two or three candidates, a purely random
     * choice could send all copies to the same one.
     */
    Optional<MemberEntry> leastRecentlyGossiped(long now) {
        var candidates = new ArrayList<MemberEntry>();
        for (MemberEntry entry : table.entries()) {
            if (!isRecentlyActive(now, entry) || entry.name().equals(self)) {
                continue;
            }
            if (!candidates.isEmpty() && entry.lastGossipAt() < candidates.get(0).lastGossipAt()) {
                candidates.clear();
            }
            if (candidates.isEmpty() || entry.lastGossipAt() == candidates.get(0).lastGossipAt()) {
                candidates.add(entry);
            }
        }
        return candidates.isEmpty() ? Optional.empty()
                : Optional.of(candidates.get(random.nextInt(candidates.size())));
    }

    /**
     * Returns whether the member is present and a message from it arrived within the recent window. Probes arrive once
     * per interval, so that a member that is silent for longer has failed or can't reach this one.
     */
    boolean isRecentlyActive(long now, MemberEntry entry) {
        return entry.isPresent() && now - entry.lastMessageAt() <= parameters.recentWindow();
    }
}

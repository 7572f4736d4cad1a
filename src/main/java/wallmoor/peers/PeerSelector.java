package wallmoor.peers;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

/** Chooses members to send something to, at random from the group's one source. */
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

    /** Others that are present, so many at most. */
    List<MemberEntry> sample(int most) {
        return sample(most, Set.of(self));
    }

    /** The same without this member. */
    List<MemberEntry> sampleWithout(String name, int most) {
        return sample(most, Set.of(self, name));
    }

    private List<MemberEntry> sample(int most, Set<String> without) {
        return table.rings().sample(most, without, random).stream().map(table::get).toList();
    }

    /**
     * One other that was heard recently, if there is any: of those gossiped to longest ago, at random. An update is
     * sent a limited number of times, and where two or three are left to tell, chance would give all of them to one.
     */
    Optional<MemberEntry> leastRecentlyGossiped(long now) {
        var candidates = new ArrayList<MemberEntry>();
        for (MemberEntry entry : table.all()) {
            if (!wasHeardRecently(now, entry) || entry.name().equals(self)) {
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

    /** Probes come each interval: who is silent for longer has lost its way to here, or is gone. */
    boolean wasHeardRecently(long now, MemberEntry entry) {
        return entry.isPresent() && now - entry.lastHeardAt() <= parameters.recentWindow();
    }
}

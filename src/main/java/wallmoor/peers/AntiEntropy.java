package wallmoor.peers;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

/**
 * Anti-entropy (Demers et al., PODC 1987): now and then a member exchanges digests of its table with another, and both
 * tell what they know where these differ. One of those asked is a seed and one a member that was removed: so two sides
 * of a partition that has healed find each other again. Times are microseconds.
 */
final class AntiEntropy {
    private static final long NEVER = -1;
    /** The next exchange follows after its interval, give or take a quarter. */
    private static final double LEAST_INTERVAL = 0.75;
    private static final double INTERVAL_SPREAD = 0.5;
    /** Bytes of a bucket's digest in a message. */
    private static final int DIGEST_BYTES = 9;
    /** Updates that fit so many datagrams go in them; more go as one message, over a connection. */
    private static final int MAX_DATAGRAMS = 32;

    private final MembershipParameters parameters;
    private final MembershipTable table;
    private final List<String> seeds;
    private final PeerSelector peers;
    private final Dissemination dissemination;
    private final MessageSender sender;
    private final Quorum quorum;
    private final Random random;
    private long nextAt;
    /** Since when others' digests have differed from this member's. */
    private long differsSince = NEVER;
    /** The next exchange is to even out a difference. */
    private boolean isDifferenceKnown;

    AntiEntropy(MembershipParameters parameters, MembershipTable table, List<String> seeds,
            PeerSelector peers, Dissemination dissemination, MessageSender sender, Quorum quorum, Random random) {
        this.parameters = parameters;
        this.table = table;
        this.seeds = seeds;
        this.peers = peers;
        this.dissemination = dissemination;
        this.sender = sender;
        this.quorum = quorum;
        this.random = random;
    }

    /** The member starts: it asks its seeds. */
    void onStart(long now) {
        exchange(now, false);
    }

    /** Has the next exchange at the next tick. */
    void hasten(long now) {
        nextAt = now;
    }

    /** Exchanges digests where it is time. */
    void onTick(long now) {
        if (differsSince != NEVER) {
            hastenForDifference(now);
        }
        if (now >= nextAt) {
            exchange(now, isDifferenceKnown);
            isDifferenceKnown = false;
        }
    }

    private void hastenForDifference(long now) {
        long differing = now - differsSince;
        if (differing > parameters.probeInterval() / 2 && quorum.mayBePartitioned(now)) {
            nextAt = now; // a side must know soon which it is
        } else if (differing > parameters.suspectAfter()) {
            // dissemination should have evened that out by now
            nextAt = Math.min(nextAt, now + (long) (parameters.probeInterval() * random.nextDouble()));
        } else {
            return;
        }
        differsSince = NEVER;
        isDifferenceKnown = true;
    }

    /**
     * Exchanges with a member at random, or one that was heard recently where what is known differs, and with a seed
     * and one that went.
     */
    private void exchange(long now, boolean differs) {
        table.expireTombstones(now);
        Optional<MemberEntry> peer = differs ? peers.leastRecentlyGossiped(now) : Optional.empty();
        if (peer.isEmpty()) {
            peer = peers.sample(1).stream().findFirst();
        }
        long interval = peer.isEmpty() ? parameters.probeInterval() : parameters.antiEntropyInterval();
        nextAt = now + (long) (interval * (LEAST_INTERVAL + INTERVAL_SPREAD * random.nextDouble()));
        differsSince = NEVER;
        var addresses = new HashSet<String>();
        if (peer.isEmpty()) {
            addresses.addAll(seeds);
        } else {
            addresses.add(peer.get().address());
            if (!seeds.isEmpty()) {
                addresses.add(seeds.get(random.nextInt(seeds.size())));
            }
        }
        exchangeWithRemoved(addresses);
        addresses.stream().sorted().forEach(a -> sendDigests(a, GroupMessage.DIGEST_REQUEST, List.of()));
    }

    /** One that was removed hears by it that it was, if it is there. */
    private void exchangeWithRemoved(Set<String> addresses) {
        List<MemberEntry> removed = table.all().stream()
                .filter(entry -> entry.isRemoved() && !entry.announcement().left()).toList();
        if (!removed.isEmpty()) {
            MemberEntry entry = removed.get(random.nextInt(removed.size()));
            addresses.remove(entry.address());
            sendDigests(entry.address(), GroupMessage.DIGEST_REQUEST, dissemination.updatesAbout(entry.name()));
        }
    }

    private void sendDigests(String address, long round, List<MembershipUpdate> first) {
        int bytes = parameters.maxUpdateBytes() - DIGEST_BYTES * TableDigest.BUCKETS;
        sender.sendDigests(address, round, dissemination.fill(new ArrayList<>(first), bytes));
    }

    /** A message has come whose sender's digest is the same as this member's, or differs. */
    void onDigest(long now, boolean differs) {
        differsSince = !differs ? NEVER : differsSince == NEVER ? now : differsSince;
    }

    /** Another member has sent its digests, and they differ: it is asked back once, and told what is known here. */
    void onDigests(GroupMessage message) {
        if (message.sequence() == GroupMessage.DIGEST_REQUEST) {
            sendDigests(message.sender().address(), GroupMessage.DIGEST_REPLY, List.of());
        }
        sendUpdates(message.sender().address(), message.bucketDigests());
    }

    /** All that is known of the buckets that differ; in as many datagrams as it takes, where they are few. */
    private void sendUpdates(String address, List<Long> digests) {
        List<MembershipUpdate> all = table.updatesWhereDifferent(digests);
        int total = all.stream().mapToInt(MembershipUpdate::encodedSize).sum();
        int most = total > parameters.maxUpdateBytes() * MAX_DATAGRAMS ? total : parameters.maxUpdateBytes();
        int from = 0;
        while (from < all.size()) {
            int to = endOfMessage(all, from, most);
            sender.sendUpdates(address, List.copyOf(all.subList(from, to)));
            from = to;
        }
    }

    /** At least one update goes with a message, and as many as so many bytes hold. */
    private static int endOfMessage(List<MembershipUpdate> all, int from, int bytes) {
        int to = from;
        int room = bytes;
        while (to < all.size() && (to == from || all.get(to).encodedSize() <= room)) {
            room -= all.get(to).encodedSize();
            to++;
        }
        return to;
    }
}

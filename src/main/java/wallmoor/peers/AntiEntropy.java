package wallmoor.peers;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

/**
 * Exchanges digests of the table with another member at intervals, after which both send each other the content of the
 * buckets that differ (anti-entropy, Demers et al., PODC 1987). Each exchange also goes to a seed and to a member that
 * was removed, so that the two sides of a partition find each other after it has healed. Times are microseconds.
 */
final class AntiEntropy {
    private static final long NEVER = -1;
    /** The time between two exchanges is a random 75 % to 125 % of the interval. */
    private static final double MIN_INTERVAL_FACTOR = 0.75;
    private static final double INTERVAL_FACTOR_RANGE = 0.5;
    /** Size of a bucket's digest in a message. */
    private static final int DIGEST_BYTES = 9;
    /** Updates that need more datagrams than this are sent as one message over a connection. */
    private static final int MAX_DATAGRAMS = 32;

    private final MembershipParameters parameters;
    private final MembershipTable table;
    private final List<String> seeds;
    private final PeerSelector peers;
    private final Dissemination dissemination;
    private final MessageSender sender;
    private final Quorum quorum;
    private final Random random;
    private long nextExchangeAt;
    /** Time since which the received digests have differed from this member's; {@link #NEVER} if the last was equal. */
    private long differsSince = NEVER;
    /** Whether the next exchange is meant to resolve a known difference. */
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

    /** Starts with an exchange with all seeds. */
    void onStart(long now) {
        exchange(now, false);
    }

    /** Schedules the next exchange for the next tick. */
    void exchangeSoon(long now) {
        nextExchangeAt = now;
    }

    /** Exchanges digests if an exchange is due. */
    void onTick(long now) {
        if (differsSince != NEVER) {
            advanceForDifference(now);
        }
        if (now >= nextExchangeAt) {
            exchange(now, isDifferenceKnown);
            isDifferenceKnown = false;
        }
    }

    /** Schedules an earlier exchange if the digests have differed for too long. */
    private void advanceForDifference(long now) {
        long differingMicros = now - differsSince;
        if (differingMicros > parameters.probeInterval() / 2 && quorum.mayBePartitioned(now)) {
            nextExchangeAt = now; // in a partition a member must learn soon whether its side has a quorum
        } else if (differingMicros > parameters.suspectAfter()) {
            // Dissemination should have resolved the difference by now.
            nextExchangeAt = Math.min(nextExchangeAt,
                    now + (long) (parameters.probeInterval() * random.nextDouble()));
        } else {
            return;
        }
        differsSince = NEVER;
        isDifferenceKnown = true;
    }

    /**
     * Exchanges digests with one other member, with a seed and with a removed member. With no other member present, the
     * exchange goes to all seeds.
     *
     * @param differs whether a difference is known; if so, a recently active member is preferred to a random one
     */
    private void exchange(long now, boolean differs) {
        table.expireTombstones(now);
        Optional<MemberEntry> peer = differs ? peers.leastRecentlyGossiped(now) : Optional.empty();
        if (peer.isEmpty()) {
            peer = peers.sample(1).stream().findFirst();
        }
        long interval = peer.isEmpty() ? parameters.probeInterval() : parameters.antiEntropyInterval();
        nextExchangeAt = now
                + (long) (interval * (MIN_INTERVAL_FACTOR + INTERVAL_FACTOR_RANGE * random.nextDouble()));
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

    /** Exchanges digests with a random removed member, which learns from it that it was removed. */
    private void exchangeWithRemoved(Set<String> addresses) {
        List<MemberEntry> removed = table.entries().stream()
                .filter(entry -> entry.isRemoved() && !entry.announcement().hasLeft()).toList();
        if (!removed.isEmpty()) {
            MemberEntry entry = removed.get(random.nextInt(removed.size()));
            addresses.remove(entry.address());
            sendDigests(entry.address(), GroupMessage.DIGEST_REQUEST, dissemination.updatesAbout(entry.name()));
        }
    }

    private void sendDigests(String address, long sequence, List<MembershipUpdate> firstUpdates) {
        int maxBytes = parameters.maxUpdateBytes() - DIGEST_BYTES * TableDigest.BUCKET_COUNT;
        sender.sendDigests(address, sequence, dissemination.fill(new ArrayList<>(firstUpdates), maxBytes));
    }

    /** Records whether the digest in a received message differs from this member's. */
    void onDigest(long now, boolean differs) {
        differsSince = !differs ? NEVER : differsSince == NEVER ? now : differsSince;
    }

    /** Answers digests that differ: with this member's digests if they were a request, and with updates. */
    void onDigests(GroupMessage message) {
        if (message.sequence() == GroupMessage.DIGEST_REQUEST) {
            sendDigests(message.sender().address(), GroupMessage.DIGEST_REPLY, List.of());
        }
        sendUpdates(message.sender().address(), message.bucketDigests());
    }

    /** Sends the content of the buckets that differ, in several datagrams or in one message if it is too large. */
    private void sendUpdates(String address, List<Long> digests) {
        List<MembershipUpdate> all = table.updatesWhereDifferent(digests);
        int totalBytes = all.stream().mapToInt(MembershipUpdate::encodedSize).sum();
        int maxBytes = totalBytes > parameters.maxUpdateBytes() * MAX_DATAGRAMS ? totalBytes
                : parameters.maxUpdateBytes();
        int from = 0;
        while (from < all.size()) {
            int to = endOfMessage(all, from, maxBytes);
            sender.sendUpdates(address, List.copyOf(all.subList(from, to)));
            from = to;
        }
    }

    /** Returns the end index of the updates for one message: at least one, and as many as fit {@code maxBytes}. */
    private static int endOfMessage(List<MembershipUpdate> all, int from, int maxBytes) {
        int to = from;
        int remainingBytes = maxBytes;
        while (to < all.size() && (to == from || all.get(to).encodedSize() <= remainingBytes)) {
            remainingBytes -= all.get(to).encodedSize();
            to++;
        }
        return to;
    }
}

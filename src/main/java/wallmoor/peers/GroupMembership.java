package wallmoor.peers;

import java.util.List;
import java.util.Random;

/**
 * One member's part in the group: events with their time in, messages and changes of view out. Single-threaded; equal
 * events after an equal start give equal actions.
 *
 * <p>Each member probes its subjects on the rings, directly and then through others (SWIM, Das et al., DSN 2002; see
 * {@link FailureDetector}). It suspects whom it can't hear, and that is disseminated on all messages ({@link
 * Dissemination}); {@link AntiEntropy} evens out what that leaves. A member is removed once most of its observers that
 * are witnesses suspect it, together with all others that are about to be (Rapid, Suresh et al., USENIX ATC 2018;
 * {@link CutDetector}), and only where a {@link Quorum} is reached. A suspected member that hears of it begins a new
 * incarnation ({@link Refutation}). One that was paused suspects nobody for a while, and one whose probes fail in
 * numbers waits longer for an answer (Lifeguard; {@link LocalHealth}).
 */
public final class GroupMembership implements MembershipProtocol {
    /** Others that are notified of leaving, for each ring: that some of them hear it is enough. */
    private static final int LEAVE_NOTICES_PER_RING = 4;
    /** What a larger message brought is not gossiped on: others that lack it exchange digests as well. */
    private static final int MAX_UPDATES_DISSEMINATED = 200;

    private final MembershipParameters parameters;
    private final LocalIdentity self;
    private final MembershipTable table;
    private final LocalHealth health;
    private final DigestHistory digests;
    private final PeerSelector peers;
    private final MessageSender sender;
    private final Dissemination dissemination;
    private final ViewPublisher publisher;
    private final Refutation refutation;
    private final UpdateProcessor updates;
    private final FailureDetector detector;
    private final AntiEntropy antiEntropy;
    private final CutDetector cuts;
    private long staleMessages;

    /**
     * A member that has not met the others yet.
     *
     * @param bootId of this process: its start on the wall clock in microseconds; only tells two processes of one name
     *               apart
     * @param seeds  addresses of which some may be gone, and one may be its own
     * @param seed   of all random draws
     */
    public GroupMembership(String name, String address, long bootId, List<String> seeds,
            MembershipParameters parameters, long seed, Output output) {
        this.parameters = parameters;
        var random = new Random(seed);
        self = new LocalIdentity(name, address, bootId);
        table = new MembershipTable(parameters, name);
        health = new LocalHealth(parameters);
        digests = new DigestHistory(parameters, table);
        peers = new PeerSelector(parameters, table, name, random);
        sender = new MessageSender(self, table, output);
        dissemination = new Dissemination(parameters, table, self, peers, sender);
        var quorum = new Quorum(parameters, table, self, health, digests);
        publisher = new ViewPublisher(parameters, table, quorum, output);
        refutation = new Refutation(parameters, self, table, dissemination, publisher);
        updates = new UpdateProcessor(self, table, refutation, dissemination, publisher);
        detector = new FailureDetector(parameters, table, self, health, peers, dissemination, updates, sender, random);
        List<String> otherSeeds = seeds.stream().filter(s -> !s.equals(address)).toList();
        antiEntropy = new AntiEntropy(parameters, table, otherSeeds, peers, dissemination, sender, quorum, random);
        cuts = new CutDetector(parameters, table, self, quorum, updates, publisher);
    }

    @Override
    public void onStart(long now) {
        health.onStart(now);
        digests.onStart(now);
        table.merge(self.announcement(), now);
        antiEntropy.onStart(now);
        publisher.publish(now, "started");
    }

    /** A tick that is late tells of a pause of this process. */
    @Override
    public void onTick(long now) {
        long gap = health.onTick(now);
        if (!self.isActive()) {
            return;
        }
        if (gap > parameters.pauseThreshold()) {
            health.pauseEnded(now, gap);
            detector.restart(now);
            antiEntropy.hasten(now);
        }
        antiEntropy.onTick(now);
        digests.onTick(now);
        detector.onTick(now);
        dissemination.onTick(now);
        cuts.onTick(now);
        if (table.admit(now)) {
            publisher.learned(now);
        }
        if (table.unreachable().contains(self.name())) {
            health.reportedUnreachable(now);
        }
        publisher.onTick(now);
    }

    /** One of an incarnation that is over only has its sender told so. */
    @Override
    public void onMessage(long now, GroupMessage message) {
        MembershipUpdate.Announcement from = message.sender();
        boolean isOwnName = from.name().equals(self.name());
        if (!self.isActive() || (isOwnName && from.bootId() == self.bootId())) {
            return;
        }
        if (isOwnName) {
            refutation.onUpdateAboutSelf(now, from, true);
            return;
        }
        MemberEntry sending = table.get(from.name());
        if (sending != null && sending.isObsolete(from.incarnation())) {
            onStaleMessage(message);
            return;
        }
        if (sending != null) {
            sending.heard(now);
        }
        processUpdates(now, message);
        boolean differs = message.digest() != table.digest();
        antiEntropy.onDigest(now, differs);
        digests.onDigest(now, message.digest());
        switch (message.kind()) {
            case PROBE -> detector.onProbe(message);
            case ACK -> detector.onAck(now, message);
            case INDIRECT_PROBE -> detector.onIndirectProbe(now, message);
            case DIGEST -> {
                if (differs) {
                    antiEntropy.onDigests(message);
                }
            }
            case UPDATES -> {} // all of it was taken in already
        }
    }

    /** What a member decided while it was out of date is not taken up. */
    private void onStaleMessage(GroupMessage message) {
        staleMessages++;
        boolean isAnswer = message.kind() == GroupMessage.MessageKind.ACK
                || message.kind() == GroupMessage.MessageKind.UPDATES;
        if (!isAnswer) {
            sender.sendAck(message.sender().address(), message.sequence(), null,
                    dissemination.updatesAbout(message.sender().name()));
        }
    }

    private void processUpdates(long now, GroupMessage message) {
        boolean wasPublished = !publisher.hasUnpublished();
        boolean disseminate = message.updates().size() <= MAX_UPDATES_DISSEMINATED;
        updates.process(now, message.sender(), disseminate);
        message.updates().forEach(update -> updates.process(now, update, disseminate));
        if (wasPublished && publisher.hasUnpublished()) {
            publisher.learnedFrom(message.sender().name());
        }
    }

    @Override
    public void leave(long now) {
        if (!self.isActive()) {
            return;
        }
        self.leave();
        table.merge(self.announcement(), now);
        for (MemberEntry entry : peers.sample(LEAVE_NOTICES_PER_RING * parameters.ringCount())) {
            sender.sendUpdates(entry.address(), List.of(self.announcement()));
        }
    }

    @Override
    public GroupView view() {
        return publisher.view();
    }

    /** Why a member is in its state; null where there is none of this name. */
    public MemberEvidence explain(long now, String name) {
        return new EvidenceCollector(table, detector).explain(now, name);
    }

    /** Figures since the start. */
    public MembershipCounts counts() {
        return new MembershipCounts(detector.probes(), detector.unansweredProbes(), detector.suspicions(),
                refutation.refutations(), cuts.removals(), staleMessages);
    }
}

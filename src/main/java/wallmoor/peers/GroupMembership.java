package wallmoor.peers;

import java.util.List;
import java.util.Random;

/**
 * Runs the membership protocol for one member. Not thread-safe. The protocol is deterministic: the same parameters,
 * seed and sequence of events give the same messages and views.
 *
 * <p>Each member probes its subjects on the rings, first directly and then through others (SWIM, Das et al., DSN 2002;
 * {@link FailureDetector}). Suspicions of silent subjects are piggybacked on all messages ({@link Dissemination}), and
 * {@link AntiEntropy} resolves the remaining differences. A member is removed once enough of its witnesses suspect it,
 * together with all others that are about to be removed (Rapid, Suresh et al., USENIX ATC 2018; {@link CutDetector}),
 * and only with a {@link Quorum}. A member that receives a suspicion of itself begins a new incarnation ({@link
 * Refutation}). A member reports no suspicions for some time after a pause, and waits longer for answers if most of its
 * probes fail at once (Lifeguard; {@link LocalHealth}).
 */
public final class GroupMembership implements MembershipProtocol {
    /** Members that are notified of leaving, per ring; it is sufficient that some of them receive the notice. */
    private static final int LEAVE_NOTICES_PER_RING = 4;
    /** The updates of a larger message are not disseminated, as members that lack them exchange digests as well. */
    private static final int MAX_DISSEMINATED_UPDATES = 200;

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
    private final FailureDetector failureDetector;
    private final AntiEntropy antiEntropy;
    private final CutDetector cutDetector;
    private long staleMessages;

    /**
     * Creates a member that knows no others yet.
     *
     * @param bootId start of this process on the wall clock, in microseconds, which distinguishes processes of the same
     *               name
     * @param seeds  addresses of members to contact first; some may be unreachable, and this member's own is ignored
     * @param seed   seed of the random source
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
        failureDetector = new FailureDetector(parameters, table, self, health, peers, dissemination, updates, sender,
                random);
        List<String> otherSeeds = seeds.stream().filter(s -> !s.equals(address)).toList();
        antiEntropy = new AntiEntropy(parameters, table, otherSeeds, peers, dissemination, sender, quorum, random);
        cutDetector = new CutDetector(parameters, table, self, quorum, updates, publisher);
    }

    @Override
    public void onStart(long now) {
        health.onStart(now);
        digests.onStart(now);
        table.merge(self.announcement(), now);
        antiEntropy.onStart(now);
        publisher.publish(now, "started");
    }

    /** Processes a tick; one that is much too late indicates a pause of this process. */
    @Override
    public void onTick(long now) {
        long gap = health.onTick(now);
        if (!self.isActive()) {
            return;
        }
        if (gap > parameters.pauseThreshold()) {
            health.onPauseEnded(now, gap);
            failureDetector.restartTimeouts(now);
            antiEntropy.exchangeSoon(now);
        }
        antiEntropy.onTick(now);
        digests.onTick(now);
        failureDetector.onTick(now);
        dissemination.onTick(now);
        cutDetector.onTick(now);
        if (table.admitRejoining(now)) {
            publisher.onTableChanged(now);
        }
        if (table.unreachable().contains(self.name())) {
            health.onReportedUnreachable(now);
        }
        publisher.onTick(now);
    }

    /** Processes a message; one from an incarnation that has ended is only answered with this information. */
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
        MemberEntry entry = table.get(from.name());
        if (entry != null && entry.isObsolete(from.incarnation())) {
            onStaleMessage(message);
            return;
        }
        if (entry != null) {
            entry.markMessageReceived(now);
        }
        processUpdates(now, message);
        boolean differs = message.digest() != table.digest();
        antiEntropy.onDigest(now, differs);
        digests.onDigest(now, message.digest());
        switch (message.kind()) {
            case PROBE -> failureDetector.onProbe(message);
            case ACK -> failureDetector.onAck(now, message);
            case INDIRECT_PROBE -> failureDetector.onIndirectProbe(now, message);
            case DIGEST -> {
                if (differs) {
                    antiEntropy.onDigests(message);
                }
            }
            case UPDATES -> {} // its updates were processed above
        }
    }

    /** Informs the sender that its incarnation has ended, and ignores the content, which may be out of date. */
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
        boolean wasPublished = !publisher.hasUnpublishedChanges();
        boolean disseminate = message.updates().size() <= MAX_DISSEMINATED_UPDATES;
        updates.process(now, message.sender(), disseminate);
        message.updates().forEach(update -> updates.process(now, update, disseminate));
        if (wasPublished && publisher.hasUnpublishedChanges()) {
            publisher.setSource(message.sender().name());
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

    /** Returns the evidence for a member's state, or null if no member of this name is known. */
    public MemberEvidence explain(long now, String name) {
        return new EvidenceCollector(table, failureDetector).explain(now, name);
    }

    /** Returns the counts since the start. */
    public MembershipCounts counts() {
        return new MembershipCounts(failureDetector.probes(), failureDetector.unansweredProbes(),
                failureDetector.suspicions(), refutation.refutations(), cutDetector.removals(), staleMessages);
    }
}

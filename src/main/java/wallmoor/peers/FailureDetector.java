package wallmoor.peers;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

/**
 * Probes this member's subjects on the rings, first directly and then through other members (SWIM, 3.1 and 4.1). It
 * reports a suspicion of each subject that has not answered for the suspicion timeout, and withdraws it once the
 * subject answers again. Times are microseconds.
 */
final class FailureDetector {
    /** The time between two probes is a random 90 % to 110 % of the probe interval. */
    private static final double MIN_INTERVAL_FACTOR = 0.9;
    private static final double INTERVAL_FACTOR_RANGE = 0.2;
    private static final long NO_PROBE = -1;

    /** The state of a subject that this member observes. */
    private static final class Subject {
        private long nextProbeAt;
        private long probedAt;
        /** Sequence number of the probe that is not answered yet, or {@link #NO_PROBE}. */
        private long pendingProbe = NO_PROBE;
        private boolean isProbedIndirectly;
        private long lastAnswerAt;
        private boolean isSuspected;
        private long suspectedIncarnation;
        private long bootId;
    }

    /** A probe on behalf of another member. */
    private record Relay(String originAddress, long originSequence, long expiresAt) {}

    private final MembershipParameters parameters;
    private final MembershipTable table;
    private final LocalIdentity self;
    private final LocalHealth health;
    private final PeerSelector peers;
    private final Dissemination dissemination;
    private final UpdateProcessor updates;
    private final MessageSender sender;
    private final Random random;
    private final Map<String, Subject> subjects = new TreeMap<>();
    /** Relayed probes by this member's own sequence number. */
    private final Map<Long, Relay> relays = new LinkedHashMap<>();
    private long probes;
    private long unansweredProbes;
    private long suspicions;

    FailureDetector(MembershipParameters parameters, MembershipTable table, LocalIdentity self, LocalHealth health,
            PeerSelector peers, Dissemination dissemination, UpdateProcessor updates, MessageSender sender,
            Random random) {
        this.parameters = parameters;
        this.table = table;
        this.self = self;
        this.health = health;
        this.peers = peers;
        this.dissemination = dissemination;
        this.updates = updates;
        this.sender = sender;
        this.random = random;
    }

    /** Returns the number of probes sent to subjects since the start, without relayed ones. */
    long probes() {
        return probes;
    }

    /** Returns the number of probes to subjects that were not answered before the probe timeout. */
    long unansweredProbes() {
        return unansweredProbes;
    }

    /** Returns the number of suspicions reported since the start. */
    long suspicions() {
        return suspicions;
    }

    /** Returns the microseconds since this subject last answered, or a negative number if it is not a subject. */
    long silenceMicros(long now, String name) {
        Subject subject = subjects.get(name);
        return subject == null ? -1 : now - subject.lastAnswerAt;
    }

    /** Restarts all suspicion timeouts after a pause of this process, during which answers could not be received. */
    void restartTimeouts(long now) {
        subjects.values().forEach(subject -> {
            subject.lastAnswerAt = now;
            subject.pendingProbe = NO_PROBE;
        });
    }

    /** Sends indirect probes after timeouts, suspects silent subjects and sends the probes that are due. */
    void onTick(long now) {
        relays.values().removeIf(r -> r.expiresAt() < now);
        Set<String> names = subjectNames();
        subjects.keySet().retainAll(names);
        int timedOut = 0;
        for (String name : names) {
            Subject subject = subjects.computeIfAbsent(name, n -> newSubject(now, n));
            MemberEntry entry = table.get(name);
            if (hasTimedOut(now, subject)) {
                timedOut++;
                probeIndirectly(now, subject, name);
            }
            resetForNewProcess(now, subject, entry);
            if (shouldSuspect(now, subject, entry)) {
                suspect(now, subject, entry);
            }
            if (now >= subject.nextProbeAt) {
                probe(now, subject, entry);
            }
        }
        unansweredProbes += timedOut;
        health.onProbesTimedOut(timedOut, names.size());
    }

    /**
     * Returns the names of this member's subjects and of the rejoining members that it would observe. The latter are
     * probed before their admission, to find out whether they are reachable.
     */
    private Set<String> subjectNames() {
        Set<String> names = table.rings().subjects(self.name());
        for (MemberEntry entry : table.rejoining()) {
            if (table.rings().observers(entry.name()).contains(self.name())) {
                names.add(entry.name());
            }
        }
        return names;
    }

    private Subject newSubject(long now, String name) {
        var subject = new Subject();
        subject.lastAnswerAt = now;
        subject.bootId = table.get(name).announcement().bootId();
        subject.nextProbeAt = now + (long) (parameters.probeInterval() * random.nextDouble());
        return subject;
    }

    private boolean hasTimedOut(long now, Subject subject) {
        return subject.pendingProbe != NO_PROBE && !subject.isProbedIndirectly
                && now - subject.probedAt > health.probeTimeout();
    }

    private void probeIndirectly(long now, Subject subject, String name) {
        subject.isProbedIndirectly = true;
        for (MemberEntry helper : peers.sampleExcluding(name, parameters.indirectProbers())) {
            sender.sendIndirectProbe(helper.address(), subject.pendingProbe, name,
                    dissemination.updatesFor(now, helper));
        }
    }

    /** Ends the suspicion and restarts the timeout if another process of the same name has replaced the subject. */
    private static void resetForNewProcess(long now, Subject subject, MemberEntry entry) {
        if (subject.bootId != entry.announcement().bootId()) {
            subject.bootId = entry.announcement().bootId();
            subject.lastAnswerAt = now;
            subject.isSuspected = false;
        }
    }

    /** Returns whether to report a suspicion; a silent subject is reported again after each new incarnation. */
    private boolean shouldSuspect(long now, Subject subject, MemberEntry entry) {
        boolean isNew = !subject.isSuspected || subject.suspectedIncarnation != entry.announcement().incarnation();
        return isNew && now - subject.lastAnswerAt > parameters.suspectAfter() && !health.isRecovering(now);
    }

    private void suspect(long now, Subject subject, MemberEntry entry) {
        subject.isSuspected = true;
        subject.suspectedIncarnation = entry.announcement().incarnation();
        suspicions++;
        updates.report(now, entry, true);
    }

    private void probe(long now, Subject subject, MemberEntry entry) {
        // A subject that did not answer the last probe probably does not receive this one either. Queued updates would
        // then count as transmitted without having arrived, so it gets only updates about itself.
        boolean isAnswering = subject.pendingProbe == NO_PROBE;
        subject.nextProbeAt = now + (long) (parameters.probeInterval()
                * (MIN_INTERVAL_FACTOR + INTERVAL_FACTOR_RANGE * random.nextDouble()));
        subject.probedAt = now;
        subject.isProbedIndirectly = false;
        subject.pendingProbe = self.nextSequence();
        probes++;
        sender.sendProbe(entry.address(), subject.pendingProbe, isAnswering ? dissemination.updatesFor(entry.name())
                : dissemination.updatesAbout(entry.name()));
    }

    /** Answers a probe from another member. */
    void onProbe(GroupMessage probe) {
        sender.sendAck(probe.sender().address(), probe.sequence(), null,
                dissemination.updatesFor(probe.sender().name()));
    }

    /** Probes a third member on behalf of the sender, unless it is unknown or too many relayed probes are pending. */
    void onIndirectProbe(long now, GroupMessage request) {
        MemberEntry target = table.get(request.target());
        if (target == null || relays.size() >= parameters.maxMembers()) {
            return;
        }
        long sequence = self.nextSequence();
        relays.put(sequence, new Relay(request.sender().address(), request.sequence(),
                now + parameters.probeInterval()));
        sender.sendProbe(target.address(), sequence, dissemination.updatesFor(now, target));
    }

    /** Processes the answer to a probe of this member, direct or relayed, or to one on behalf of another member. */
    void onAck(long now, GroupMessage ack) {
        Relay relay = relays.remove(ack.sequence());
        if (relay != null) {
            sender.sendAck(relay.originAddress(), relay.originSequence(), ack.sender().name(),
                    dissemination.updatesForAnyone());
            return;
        }
        boolean isDirect = ack.target() == null;
        String name = isDirect ? ack.sender().name() : ack.target();
        Subject subject = subjects.get(name);
        if (subject == null || subject.pendingProbe != ack.sequence()) {
            return;
        }
        if (isDirect) {
            health.onProbeAnswered();
        }
        subject.pendingProbe = NO_PROBE;
        subject.lastAnswerAt = now;
        MemberEntry entry = table.get(name);
        if (subject.isSuspected || entry.isSuspectedBy(self.name())) {
            subject.isSuspected = false;
            updates.report(now, entry, false);
        }
    }
}

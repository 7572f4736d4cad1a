package wallmoor.peers;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

/**
 * Probes this member's subjects on the rings, directly and then through others (SWIM, 3.1 and 4.1), and reports a
 * suspicion of each that was not heard for long enough, or takes it back. Times are microseconds.
 */
final class FailureDetector {
    /** The next probe is sent after an interval, give or take a tenth. */
    private static final double LEAST_INTERVAL = 0.9;
    private static final double INTERVAL_SPREAD = 0.2;
    private static final long NO_PROBE = -1;

    /** A subject as its observer sees it. */
    private static final class Subject {
        private long nextProbeAt;
        private long probedAt;
        /** The number of the probe that was not answered yet. */
        private long pendingProbe = NO_PROBE;
        private boolean probedIndirectly;
        private long heardAt;
        private boolean suspected;
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
    /** By this member's own number of the probe. */
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

    /** Probes sent to subjects since the start. */
    long probes() {
        return probes;
    }

    /** Of these the ones that were not answered in time. */
    long unansweredProbes() {
        return unansweredProbes;
    }

    /** Suspicions reported since the start. */
    long suspicions() {
        return suspicions;
    }

    /** Since when this subject has not been heard, or a negative number where it is none. */
    long silence(long now, String name) {
        Subject subject = subjects.get(name);
        return subject == null ? -1 : now - subject.heardAt;
    }

    /** After a pause of this process silence is counted anew. */
    void restart(long now) {
        subjects.values().forEach(subject -> {
            subject.heardAt = now;
            subject.pendingProbe = NO_PROBE;
        });
    }

    /** Asks others about probes that timed out, suspects who is silent, and sends the probes that are due. */
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
            followProcess(now, subject, entry);
            if (isToBeSuspected(now, subject, entry)) {
                suspect(now, subject, entry);
            }
            if (now >= subject.nextProbeAt) {
                probe(now, subject, entry);
            }
        }
        unansweredProbes += timedOut;
        health.probesTimedOut(timedOut, names.size());
    }

    /** Rejoining members are probed as their observers would if they were back: so it is seen whether they are. */
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
        subject.heardAt = now;
        subject.bootId = table.get(name).announcement().bootId();
        subject.nextProbeAt = now + (long) (parameters.probeInterval() * random.nextDouble());
        return subject;
    }

    private boolean hasTimedOut(long now, Subject subject) {
        return subject.pendingProbe != NO_PROBE && !subject.probedIndirectly
                && now - subject.probedAt > health.probeTimeout();
    }

    private void probeIndirectly(long now, Subject subject, String name) {
        subject.probedIndirectly = true;
        for (MemberEntry helper : peers.sampleWithout(name, parameters.indirectProbers())) {
            sender.sendIndirectProbe(helper.address(), subject.pendingProbe, name,
                    dissemination.updatesFor(now, helper));
        }
    }

    /** Nothing is held against another process of the same name. */
    private static void followProcess(long now, Subject subject, MemberEntry entry) {
        if (subject.bootId != entry.announcement().bootId()) {
            subject.bootId = entry.announcement().bootId();
            subject.heardAt = now;
            subject.suspected = false;
        }
    }

    /** A subject that announces a new incarnation and is still not heard is suspected anew. */
    private boolean isToBeSuspected(long now, Subject subject, MemberEntry entry) {
        boolean isNews = !subject.suspected || subject.suspectedIncarnation != entry.announcement().incarnation();
        return isNews && now - subject.heardAt > parameters.suspectAfter() && !health.isRecovering(now);
    }

    private void suspect(long now, Subject subject, MemberEntry entry) {
        subject.suspected = true;
        subject.suspectedIncarnation = entry.announcement().incarnation();
        suspicions++;
        updates.report(now, entry, true);
    }

    private void probe(long now, Subject subject, MemberEntry entry) {
        // else updates would go where they most likely are not heard, and count as told
        boolean isAnswering = subject.pendingProbe == NO_PROBE;
        subject.nextProbeAt = now
                + (long) (parameters.probeInterval() * (LEAST_INTERVAL + INTERVAL_SPREAD * random.nextDouble()));
        subject.probedAt = now;
        subject.probedIndirectly = false;
        subject.pendingProbe = self.nextSequence();
        probes++;
        sender.sendProbe(entry.address(), subject.pendingProbe, isAnswering ? dissemination.updatesFor(entry.name())
                : dissemination.updatesAbout(entry.name()));
    }

    /** Another member probes this one. */
    void onProbe(GroupMessage probe) {
        sender.sendAck(probe.sender().address(), probe.sequence(), null,
                dissemination.updatesFor(probe.sender().name()));
    }

    /** Another member asks this one to probe a third. */
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

    /** A probe was answered: one of this member's own, perhaps through another, or one on behalf of another. */
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
            health.probeAnswered();
        }
        subject.pendingProbe = NO_PROBE;
        subject.heardAt = now;
        MemberEntry entry = table.get(name);
        if (subject.suspected || entry.isSuspectedBy(self.name())) {
            subject.suspected = false;
            updates.report(now, entry, false);
        }
    }
}

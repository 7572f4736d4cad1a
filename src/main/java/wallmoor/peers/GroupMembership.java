package wallmoor.peers;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import wallmoor.peers.MembershipUpdate.Announcement;
import wallmoor.peers.MembershipUpdate.Suspicion;

/**
 * One member's part in the group: events with their time in, messages and changes of view out. Single-threaded; equal
 * events after an equal start give equal actions.
 *
 * <p>Each member probes its subjects on the rings, directly and then through others (SWIM). What it can't hear it
 * accuses, and news of that travels on all messages. A member is cut once most of its observers that are witnesses
 * accuse it, together with all others that are about to be cut (Rapid), and only where a quorum is reached. An accused
 * member that hears of it begins a new life, which voids all that was said of the old one. One that has stood still
 * accuses nobody for a while, and one whose probes fail in numbers waits longer for an answer (Lifeguard).
 */
public final class GroupMembership implements MembershipProtocol {
    /** Figures of what came and went. */
    public record MembershipCounts(long probes, long unansweredProbes, long suspicions, long refutations, long removals,
            long staleMessages) {}

    /**
     * Own probes that fail in a row of ticks raise self-doubt up to this: an answer is awaited so many times half as
     * long again.
     */
    private static final int MOST_DOUBT = 6;
    /** Of a process that stood still nothing is believed for as long again, and for so many intervals at most. */
    private static final int STOOD_INTERVALS = 10;
    /**
     * Each piece of news goes out so many times the decimal logarithm of the group's size, at least: all have it then
     * (SWIM, 4.1).
     */
    private static final int SPREAD = 4;
    /** An exchange holds digests as well, and so much less news. */
    private static final int DIGESTS = 9 * MembershipTable.BUCKETS;
    /** A name whose life was taken by another process so often has two processes: the one that started later yields. */
    private static final int TWINS = 3;
    /** What fits so many datagrams is told in them; what does not goes as one message that is none. */
    private static final int TABLE_MESSAGES = 32;
    /** Leaving is told to so many for each ring: that some of them hear it is enough. */
    private static final int NOTICES = 4;
    /** What more news than this brought is not passed on one by one: others that lack it exchange tables as well. */
    private static final int MOST_PASSED_ON = 200;
    /** An exchange is asked back for once, and not again for that. */
    private static final long ASKED = 0;
    private static final long ASKED_BACK = 1;

    /** A subject as its observer sees it. */
    private static final class Watch {
        long nextAt;
        long sentAt;
        long seq = -1;
        boolean asked;
        long heardAt;
        boolean accused;
        long boot;
        long life;
    }

    private record Relay(String origin, long seq, long until) {}

    private final MembershipParameters rules;
    private final Random random;
    private final Output actions;
    private final List<String> seeds;
    private final MembershipTable table;
    private final Map<String, Watch> watches = new TreeMap<>();
    private final Map<Long, Relay> relays = new LinkedHashMap<>();
    private final DisseminationQueue gossip = new DisseminationQueue();
    private Announcement self;
    private long seq;
    private int selfDoubt;
    private long tickedAt;
    private long stoodUntil;
    /** Most of this member's observers said of late that they don't hear it. */
    private long unheardUntil;
    private long exchangeAt;
    private long doubtsAt;
    private long cutSince = -1;
    /** Since when a quorum has been here; negative where none is. */
    private long largerSince = -1;
    private long refutedAt;
    private int taken;
    private boolean yielded;
    private boolean left;
    /**
     * Since when something was learnt that the view does not hold; negative where nothing was. And when it was last.
     */
    private long untoldSince = -1;
    private long learntAt;
    /** Who told it first; null where it came of time. */
    private String teller;
    /** What is learnt now is told to others. */
    private boolean passOn = true;
    /** Since when others' digests have differed from this member's; negative where they don't. */
    private long differsSince = -1;
    /** The next exchange is to even that out. */
    private boolean differed;
    /** This member's own digests of late, and until when each was its own. */
    private final Map<Long, Long> digests = new LinkedHashMap<>();
    /** When one last spoke whose digest was among these: it knew nothing that this member does not. */
    private long abreastAt;
    private GroupView view;
    private long probes;
    private long probesFailed;
    private long accusations;
    private long refutations;
    private long removals;
    private long stale;

    /**
     * A member that has not met the others yet.
     *
     * @param boot  of this process: its start on the wall clock; only tells two processes of one name apart
     * @param seeds addresses of which some may be gone, and one may be its own
     */
    public GroupMembership(String name, String address, long boot, List<String> seeds, MembershipParameters rules,
            long seed, Output actions) {
        this.rules = rules;
        this.random = new Random(seed);
        this.actions = actions;
        this.seeds = seeds.stream().filter(s -> !s.equals(address)).toList();
        table = new MembershipTable(rules, name);
        // over its last life, unless the wall clock went back
        self = new Announcement(name, address, boot, boot, false);
        seq = boot; // and so does an observer's count
    }

    // ---- events -------------------------------------------------------------------------------------------

    @Override
    public void onStart(long now) {
        tickedAt = now;
        abreastAt = now;
        table.merge(self, now);
        meet(now, false);
        look(now, "started");
    }

    /** A tick that is late tells of a pause of this process. */
    @Override
    public void onTick(long now) {
        long gap = now - tickedAt;
        tickedAt = now;
        if (left || yielded) {
            return;
        }
        if (gap > rules.pauseThreshold()) {
            stood(now, gap);
        }
        // a side must know soon which it is
        if (differsSince >= 0 && now - differsSince > rules.probeInterval() / 2 && parted(now)) {
            exchangeAt = now;
            differsSince = -1;
            differed = true;
        } else if (differsSince >= 0 && now - differsSince > rules.suspectAfter()) {
            // news should have evened that out by now
            exchangeAt = Math.min(exchangeAt, now + (long) (rules.probeInterval() * random.nextDouble()));
            differsSince = -1;
            differed = true;
        }
        if (now >= exchangeAt) {
            meet(now, differed);
            differed = false;
        }
        relays.values().removeIf(r -> r.until() < now);
        digests.put(table.digest(), now);
        digests.values().removeIf(at -> now - at > freshness());
        probe(now);
        gossip(now);
        cut(now);
        if (table.admit(now)) {
            learnt(now);
        }
        if (table.unreachable().contains(self.name())) {
            unheardUntil = now + rules.suspectAfter();
        }
        GroupView.PartitionSide standing = standing(now);
        if (standing != view.side()
                || untoldSince >= 0
                        && (now - learntAt >= rules.probeInterval() / 2
                                || now - untoldSince >= 2 * rules.probeInterval())) {
            look(now, teller == null ? "time" : "told by " + teller);
        }
    }

    /** One of a life that is over only has its sender told so. */
    @Override
    public void onMessage(long now, GroupMessage m) {
        if (left || yielded || m.sender().name().equals(self.name()) && m.sender().bootId() == self.bootId()) {
            return;
        }
        if (m.sender().name().equals(self.name())) {
            mine(now, m.sender());
            return;
        }
        MembershipTable.MemberEntry before = table.get(m.sender().name());
        if (before != null && before.isObsolete(m.sender().incarnation())) {
            stale++; // what it decided while it was out of date is not taken up
            if (m.kind() != GroupMessage.MessageKind.ACK && m.kind() != GroupMessage.MessageKind.UPDATES) {
                actions.send(m.sender().address(),
                        message(GroupMessage.MessageKind.ACK, m.sequence(), null, about(m.sender().name())));
            }
            return;
        }
        if (before != null) {
            before.lastHeardAt = now;
        }
        boolean news = untoldSince < 0;
        passOn = m.updates().size() <= MOST_PASSED_ON;
        take(now, m.sender());
        m.updates().forEach(n -> take(now, n));
        teller = news && untoldSince >= 0 ? m.sender().name() : teller;
        passOn = true;
        boolean differs = m.digest() != table.digest();
        differsSince = !differs ? -1 : differsSince < 0 ? now : differsSince;
        digests.put(table.digest(), now);
        abreastAt = digests.containsKey(m.digest()) ? now : abreastAt;
        switch (m.kind()) {
            case PROBE -> reply(now, m);
            case ACK -> acked(now, m);
            case INDIRECT_PROBE -> ask(now, m);
            case DIGEST -> {
                if (differs) {
                    if (m.sequence() == ASKED) {
                        actions.send(m.sender().address(), exchange(ASKED_BACK, null));
                    }
                    tell(m.sender().address(), m.bucketDigests());
                }
            }
            case UPDATES -> {}
        }
    }

    @Override
    public void leave(long now) {
        if (left || yielded) {
            return;
        }
        self = new Announcement(self.name(), self.address(), self.bootId(), self.incarnation(), true);
        table.merge(self, now);
        List<MembershipUpdate> notice = List.of(self);
        others(NOTICES * rules.ringCount(), Set.of(self.name()))
                .forEach(e -> actions.send(e.announcement.address(),
                        message(GroupMessage.MessageKind.UPDATES, 0, null, notice)));
        left = true;
    }

    @Override
    public GroupView view() {
        return view;
    }

    /** Why a member is where it is; null where there is none of this name. */
    public MemberEvidence explain(long now, String name) {
        MembershipTable.MemberEntry e = table.get(name);
        if (e == null) {
            return null;
        }
        Set<String> observers = table.rings().observers(name);
        Set<String> witnesses = table.witnesses(name);
        var names = new TreeSet<>(observers);
        e.suspicions().forEach(d -> names.add(d.observer()));
        var voices = new ArrayList<MemberEvidence.ObserverReport>();
        for (String by : names) {
            Suspicion d = e.suspicionBy(by);
            voices.add(new MemberEvidence.ObserverReport(by, observers.contains(by), witnesses.contains(by),
                    d == null ? MemberEvidence.ReportedState.NOTHING
                            : d.isActive() ? MemberEvidence.ReportedState.DOUBTS
                                    : MemberEvidence.ReportedState.HEARS_AGAIN));
        }
        Watch w = watches.get(name);
        return new MemberEvidence(name, e.announcement.address(), e.announcement.incarnation(), e.state, e.since,
                witnesses.size(),
                MembershipTable.cutThreshold(witnesses.size()), w == null ? -1 : now - w.heardAt, voices);
    }

    /** Figures since the start. */
    public MembershipCounts counts() {
        return new MembershipCounts(probes, probesFailed, accusations, refutations, removals, stale);
    }

    // ---- meeting ------------------------------------------------------------------------------------------

    /**
     * Exchanges with a member at random, or one that speaks where what is known differs, and with a seed or one that
     * went: so two sides of a cut find each other again.
     */
    private void meet(long now, boolean differs) {
        table.expireTombstones(now);
        List<MembershipTable.MemberEntry> known = differs ? speaking(now) : List.of();
        known = known.isEmpty() ? others(1, Set.of(self.name())) : known;
        exchangeAt = now
                + (long) ((known.isEmpty() ? rules.probeInterval() : rules.antiEntropyInterval())
                        * (0.75 + 0.5 * random.nextDouble()));
        differsSince = -1;
        var to = new HashSet<String>();
        known.forEach(e -> to.add(e.announcement.address()));
        if (known.isEmpty()) {
            to.addAll(seeds);
        } else if (!seeds.isEmpty()) {
            to.add(seeds.get(random.nextInt(seeds.size())));
        }
        List<MembershipTable.MemberEntry> gone = table.all().stream()
                .filter(e -> e.isRemoved() && !e.announcement.left()).toList();
        if (!gone.isEmpty()) { // which hears by it that it was removed, if it is there
            MembershipTable.MemberEntry e = gone.get(random.nextInt(gone.size()));
            to.remove(e.announcement.address());
            actions.send(e.announcement.address(), exchange(ASKED, e.announcement.name()));
        }
        to.stream().sorted().forEach(a -> actions.send(a, exchange(ASKED, null)));
    }

    private GroupMessage exchange(long number, String to) {
        return new GroupMessage(GroupMessage.MessageKind.DIGEST, self, number, null, table.digest(),
                table.bucketDigests(),
                carry(to, rules.maxUpdateBytes() - DIGESTS));
    }

    /** All that is known of what differs; in as many datagrams as it takes, where they are few. */
    private void tell(String address, List<Long> digests) {
        List<MembershipUpdate> all = table.updatesWhereDifferent(digests);
        int bytes = all.stream().mapToInt(MembershipUpdate::encodedSize).sum();
        int room = bytes > rules.maxUpdateBytes() * TABLE_MESSAGES ? bytes : rules.maxUpdateBytes();
        for (int from = 0, to = 0; from < all.size(); from = to) {
            for (int left = room; to < all.size() && (to == from || all.get(to).encodedSize() <= left); to++) {
                left -= all.get(to).encodedSize();
            }
            actions.send(address,
                    message(GroupMessage.MessageKind.UPDATES, 0, null, List.copyOf(all.subList(from, to))));
        }
    }

    private List<MembershipTable.MemberEntry> others(int most, Set<String> without) {
        return table.rings().sample(most, without, random).stream().map(table::get).toList();
    }

    /**
     * News goes to one that has spoken of late, as what goes to one that does not hear would count as told. One to whom
     * nobody speaks may be observed by none of those on its side of a cut: it asks around for what they know.
     */
    private void gossip(long now) {
        List<MembershipTable.MemberEntry> speaking = speaking(now);
        if (!gossip.isEmpty()) {
            speaking.forEach(e -> {
                e.lastGossipAt = now;
                actions.send(e.announcement.address(),
                        message(GroupMessage.MessageKind.UPDATES, 0, null, carry(e.announcement.name())));
            });
        }
        if (speaking.isEmpty() && !table.suspected().isEmpty()) {
            others(1, Set.of(self.name()))
                    .forEach(e -> actions.send(e.announcement.address(),
                            new GroupMessage(GroupMessage.MessageKind.DIGEST, self,
                                    ASKED, null, table.digest(), table.bucketDigests(), about(e.announcement.name()))));
        }
    }

    /**
     * One other that has spoken of late, if there is any: of those told longest ago, at random. A piece is told so many
     * times only, and where two or three are left to tell, chance would give all of them to one.
     */
    private List<MembershipTable.MemberEntry> speaking(long now) {
        var all = new ArrayList<MembershipTable.MemberEntry>();
        for (MembershipTable.MemberEntry e : table.all()) {
            if (speaks(now, e) && !e.announcement.name().equals(self.name())
                    && (all.isEmpty() || e.lastGossipAt <= all.get(0).lastGossipAt)) {
                if (!all.isEmpty() && e.lastGossipAt < all.get(0).lastGossipAt) {
                    all.clear();
                }
                all.add(e);
            }
        }
        return all.isEmpty() ? all : List.of(all.get(random.nextInt(all.size())));
    }

    /** Probes come each interval: who is silent for longer has lost its way to here, or is gone. */
    private boolean speaks(long now, MembershipTable.MemberEntry e) {
        return e.isPresent() && now - e.lastHeardAt <= freshness();
    }

    /** What goes with a message to this member: news, or if it does not speak only what it must know of itself. */
    private List<MembershipUpdate> carry(long now, MembershipTable.MemberEntry to) {
        return speaks(now, to) ? carry(to.announcement.name()) : about(to.announcement.name());
    }

    // ---- news ---------------------------------------------------------------------------------------------

    private void take(long now, MembershipUpdate n) {
        if (n.name().equals(self.name())) {
            mine(now, n);
        } else if (n instanceof Announcement t && table.merge(t, now)) {
            learnt(now);
            tell(t);
        } else if (n instanceof Suspicion d && table.merge(d)) {
            doubted(now, d);
        }
    }

    /** The table has a new doubt, or the end of one. */
    private void doubted(long now, Suspicion d) {
        learnt(now);
        doubtsAt = table.get(d.name()).isPresent() ? now : doubtsAt;
        tell(d);
    }

    /** What is said of this member: a doubt, or a life that it did not begin, is answered by a new life. */
    private void mine(long now, MembershipUpdate n) {
        if (n instanceof Announcement t && t.bootId() != self.bootId() && t.incarnation() >= self.incarnation()) {
            if (++taken > TWINS && t.bootId() < self.bootId()) {
                yielded = true;
                look(now, "another process has this name and was here first: taking no part");
                return;
            }
            live(now, t.incarnation() + 1);
        } else if (n instanceof Suspicion d && d.isActive() && d.incarnation() >= self.incarnation()
                && !isGone(d.observer())
                && (refutations == 0 || now - refutedAt >= 3 * rules.suspectAfter() / 2)) {
            // or those that never hear it could never agree
            refutations++;
            refutedAt = now;
            live(now, d.incarnation() + 1);
        } else if (n instanceof Announcement t && t.left() && t.incarnation() >= self.incarnation()) {
            live(now, t.incarnation() + 1);
        }
    }

    /**
     * The word of one that was removed counts nowhere: to refute it would tell all others something new for nothing.
     */
    private boolean isGone(String name) {
        MembershipTable.MemberEntry e = table.get(name);
        return e != null && !e.isPresent();
    }

    private void live(long now, long incarnation) {
        self = new Announcement(self.name(), self.address(), self.bootId(), incarnation, false);
        table.merge(self, now);
        learnt(now);
        tell(self);
    }

    private void learnt(long now) {
        untoldSince = untoldSince < 0 ? now : untoldSince;
        learntAt = now;
    }

    private void tell(MembershipUpdate n) {
        if (!passOn) {
            return;
        }
        gossip.enqueue(new DisseminationQueue.Topic(n.name(), n instanceof Suspicion));
    }

    private List<MembershipUpdate> known(DisseminationQueue.Topic piece) {
        MembershipTable.MemberEntry e = table.get(piece.name());
        if (e == null) {
            return List.of();
        }
        if (!piece.suspicions()) {
            return List.of(e.announcement);
        }
        Set<String> observers = table.rings().observers(e.announcement.name()); // others' word does not count
        return e.suspicions().stream().filter(d -> observers.contains(d.observer())).map(d -> (MembershipUpdate) d)
                .toList();
    }

    /** The news that was sent least, after what the receiver must know of itself. */
    private List<MembershipUpdate> carry(String to) {
        return carry(to, rules.maxUpdateBytes());
    }

    private List<MembershipUpdate> carry(String to, int room) {
        var chosen = new ArrayList<MembershipUpdate>();
        if (to != null) {
            chosen.addAll(about(to));
        }
        int enough = (int) Math.ceil(SPREAD * Math.max(1, Math.log10(table.size())));
        gossip.appendTo(room - chosen.stream().mapToInt(MembershipUpdate::encodedSize).sum(), enough, this::known,
                chosen);
        return chosen;
    }

    /** Doubts of a member, and its life as known here: what it refutes, if it is there to do so. */
    private List<MembershipUpdate> about(String name) {
        var said = new ArrayList<MembershipUpdate>();
        MembershipTable.MemberEntry e = table.get(name);
        if (e != null) {
            // by this one's own word: others may have heard it again meanwhile
            if (e.isRemoved() || e.announcement.left()) {
                said.add(e.announcement);
                said.add(new Suspicion(name, e.announcement.incarnation(), self.name(), ++seq, true));
            } else {
                e.suspicions().stream().filter(Suspicion::isActive).limit(1).forEach(said::add);
            }
        }
        return said;
    }

    private GroupMessage message(GroupMessage.MessageKind kind, long number, String about,
            List<MembershipUpdate> news) {
        return new GroupMessage(kind, self, number, about, table.digest(), List.of(), news);
    }

    // ---- probes -------------------------------------------------------------------------------------------

    private void probe(long now) {
        Set<String> subjects = table.rings().subjects(self.name());
        // as its observers would if it were back: so it is seen whether it is
        for (MembershipTable.MemberEntry e : table.rejoining()) {
            if (table.rings().observers(e.announcement.name()).contains(self.name())) {
                subjects.add(e.announcement.name());
            }
        }
        watches.keySet().retainAll(subjects);
        int failing = 0;
        for (String name : subjects) {
            Watch w = watches.computeIfAbsent(name, n -> {
                var fresh = new Watch();
                fresh.heardAt = now;
                fresh.boot = table.get(n).announcement.bootId();
                fresh.nextAt = now + (long) (rules.probeInterval() * random.nextDouble());
                return fresh;
            });
            MembershipTable.MemberEntry e = table.get(name);
            if (w.seq >= 0 && !w.asked && now - w.sentAt > patience()) {
                w.asked = true;
                failing++;
                others(rules.indirectProbers(), Set.of(self.name(), name))
                        .forEach(h -> actions.send(h.announcement.address(),
                                message(GroupMessage.MessageKind.INDIRECT_PROBE, w.seq, name, carry(now, h))));
            }
            if (w.boot != e.announcement.bootId()) { // another process: nothing is held against it
                w.boot = e.announcement.bootId();
                w.heardAt = now;
                w.accused = false;
            }
            // its word that it is there, and still unheard
            boolean again = w.accused && w.life != e.announcement.incarnation();
            if ((!w.accused || again) && now - w.heardAt > rules.suspectAfter() && now >= stoodUntil) {
                accuse(now, w, e);
            }
            if (now >= w.nextAt) {
                boolean answered = w.seq < 0; // else news would go where it most likely is not heard, and count as told
                w.nextAt = now + (long) (rules.probeInterval() * (0.9 + 0.2 * random.nextDouble()));
                w.sentAt = now;
                w.asked = false;
                w.seq = ++seq;
                probes++;
                actions.send(e.announcement.address(),
                        message(GroupMessage.MessageKind.PROBE, w.seq, null, answered ? carry(name) : about(name)));
            }
        }
        probesFailed += failing;
        if (failing > 1 && failing * 2 > subjects.size()) {
            // that all of them are gone is less likely than that this one is
            selfDoubt = Math.min(MOST_DOUBT, selfDoubt + 1);
        }
    }

    private long patience() {
        return rules.probeTimeout() + rules.probeTimeout() * selfDoubt / 2;
    }

    private void accuse(long now, Watch w, MembershipTable.MemberEntry e) {
        w.accused = true;
        w.life = e.announcement.incarnation();
        accusations++;
        doubt(now, e, true);
    }

    private void doubt(long now, MembershipTable.MemberEntry e, boolean on) {
        var doubt = new Suspicion(e.announcement.name(), e.announcement.incarnation(), self.name(), ++seq, on);
        if (table.merge(doubt)) {
            doubted(now, doubt);
        }
    }

    private void reply(long now, GroupMessage m) {
        actions.send(m.sender().address(),
                message(GroupMessage.MessageKind.ACK, m.sequence(), null, carry(m.sender().name())));
    }

    private void ask(long now, GroupMessage m) {
        MembershipTable.MemberEntry e = table.get(m.target());
        if (e != null && relays.size() < rules.maxMembers()) {
            relays.put(++seq, new Relay(m.sender().address(), m.sequence(), now + rules.probeInterval()));
            actions.send(e.announcement.address(), message(GroupMessage.MessageKind.PROBE, seq, null, carry(now, e)));
        }
    }

    private void acked(long now, GroupMessage m) {
        Relay relay = relays.remove(m.sequence());
        if (relay != null) {
            actions.send(relay.origin(),
                    message(GroupMessage.MessageKind.ACK, relay.seq(), m.sender().name(), carry(null)));
            return;
        }
        String name = m.target() != null ? m.target() : m.sender().name();
        Watch w = watches.get(name);
        if (w == null || w.seq != m.sequence()) {
            return;
        }
        if (m.target() == null) {
            selfDoubt = Math.max(0, selfDoubt - 1);
        }
        w.seq = -1;
        w.heardAt = now;
        MembershipTable.MemberEntry e = table.get(name);
        if (w.accused || e.isSuspectedBy(self.name())) {
            w.accused = false;
            doubt(now, e, false);
        }
    }

    /** This process stood still. Whom it did not hear meanwhile may have spoken all the time. */
    private void stood(long now, long gap) {
        stoodUntil = now + Math.min(gap, STOOD_INTERVALS * rules.probeInterval()) + rules.suspectAfter();
        watches.values().forEach(w -> {
            w.heardAt = now;
            w.seq = -1;
        });
        exchangeAt = now;
    }

    // ---- the view -----------------------------------------------------------------------------------------

    /** Cuts those whom most of their witnesses accuse, all at once, where a quorum is here. */
    private void cut(long now) {
        boolean larger = side(now) == GroupView.PartitionSide.LARGER;
        largerSince = !larger ? -1 : largerSince < 0 ? now : largerSince;
        // doubts of before it came back must go first
        if (table.suspected().isEmpty() || !larger || now - largerSince < rules.suspectAfter()) {
            cutSince = -1;
            return;
        }
        var ripe = new ArrayList<MembershipTable.MemberEntry>();
        boolean more = false;
        for (var d : table.suspected().entrySet()) {
            Set<String> witnesses = table.witnesses(d.getKey());
            if (!witnesses.isEmpty() && d.getValue().size() >= MembershipTable.cutThreshold(witnesses.size())) {
                ripe.add(table.get(d.getKey()));
            } else {
                more |= d.getValue().size() >= 2;
            }
        }
        if (ripe.isEmpty()) {
            cutSince = -1;
            return;
        }
        cutSince = cutSince < 0 ? now : cutSince;
        boolean steady = now - doubtsAt >= rules.cutQuietPeriod() && !more;
        if ((steady || now - cutSince >= rules.maxCutDelay()) && standing(now) == GroupView.PartitionSide.LARGER) {
            Map<String, Set<String>> by = table.suspected();
            ripe.sort(java.util.Comparator.comparing(e -> e.announcement.name()));
            ripe.forEach(table::remove);
            removals += ripe.size();
            confirm(now);
            cutSince = -1;
            look(now, "cut " + String.join(", ",
                    ripe.stream().map(e -> e.announcement.name() + " by " + by.get(e.announcement.name())).toList()));
        }
    }

    /**
     * With those that were cut, observers changed for all that were cut before or with them. Who observes one of these
     * now would have accused it: it says so, as others that have cut fewer so far wait for its word.
     */
    private void confirm(long now) {
        for (MembershipTable.MemberEntry e : table.all()) {
            if (e.isRemoved() && !e.announcement.left() && !e.isSuspectedBy(self.name())
                    && table.rings().observers(e.announcement.name()).contains(self.name())) {
                doubt(now, e, true);
            }
        }
    }

    /**
     * Where a cut may be, what this member does not know of yet may be that its side is the smaller one: it has no
     * quorum unless one has spoken of late that knew nothing more.
     */
    private GroupView.PartitionSide standing(long now) {
        GroupView.PartitionSide side = side(now);
        return side == GroupView.PartitionSide.LARGER && now - abreastAt > freshness() && parted(now)
                ? GroupView.PartitionSide.CANT_TELL
                : side;
    }

    /** Probes and their answers come each interval, give or take a tenth: one of them may be lost. */
    private long freshness() {
        return 3 * rules.probeInterval() / 2;
    }

    /**
     * More than a quarter of those that observe this member or are observed by it have said nothing for as long as
     * accusing takes: there may be a cut, whatever has been told of it so far.
     */
    private boolean parted(long now) {
        Set<String> beside = table.rings().observers(self.name());
        beside.addAll(table.rings().subjects(self.name()));
        long silent = beside.stream().map(table::get)
                .filter(e -> now - Math.max(e.lastHeardAt, e.discoveredAt) > rules.suspectAfter())
                .count();
        return 4 * silent > beside.size();
    }

    /**
     * One that most don't hear may be removed by a side that it takes for its own: it can't tell until they hear it
     * again.
     */
    private GroupView.PartitionSide side(long now) {
        if (now < stoodUntil || now < unheardUntil || yielded || table.presentCount() > rules.groupSize()
                || 2 * table.reachableCount() == rules.groupSize()) {
            return GroupView.PartitionSide.CANT_TELL;
        }
        return 2 * table.reachableCount() > rules.groupSize() ? GroupView.PartitionSide.LARGER
                : GroupView.PartitionSide.SMALLER;
    }

    /** Tells of the view if it has changed. */
    private void look(long now, String why) {
        untoldSince = -1;
        teller = null;
        Map<String, Set<String>> doubted = table.suspected();
        var members = new ArrayList<GroupView.Member>();
        for (MembershipTable.MemberEntry e : table.all()) {
            GroupView.MemberState is = e.announcement.left() ? GroupView.MemberState.LEFT
                    : e.isRemoved() || e.isRejoining() ? GroupView.MemberState.REMOVED
                            : doubted.containsKey(e.announcement.name()) ? GroupView.MemberState.SUSPECTED
                                    : GroupView.MemberState.ALIVE;
            if (is != e.state) {
                e.state = is;
                e.since = now;
            }
            members.add(new GroupView.Member(e.announcement.name(), e.announcement.address(),
                    e.announcement.incarnation(), is, e.since,
                    doubted.getOrDefault(e.announcement.name(), Set.of()).stream().sorted().toList()));
        }
        GroupView.PartitionSide standing = standing(now);
        boolean same = view != null && view.side() == standing && alike(view.members(), members);
        long version = view == null ? 1 : same ? view.version() : view.version() + 1;
        view = new GroupView(version, standing, table.reachableCount(), rules.groupSize(), members);
        if (!same) {
            actions.viewChanged(view, why);
        }
    }

    /**
     * One more that doubts a suspected member is evidence, and no change; nor is what one that is removed says of
     * itself.
     */
    private static boolean alike(List<GroupView.Member> a, List<GroupView.Member> b) {
        boolean alike = a.size() == b.size();
        for (int i = 0; alike && i < a.size(); i++) {
            alike = a.get(i).name().equals(b.get(i).name()) && a.get(i).state() == b.get(i).state()
                    && (a.get(i).incarnation() == b.get(i).incarnation()
                            || a.get(i).state() == GroupView.MemberState.REMOVED)
                    && a.get(i).address().equals(b.get(i).address());
        }
        return alike;
    }
}

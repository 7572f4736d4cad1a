package wallmoor.experiment;

import static wallmoor.simulation.GroupSimulation.RELIABLE;

import java.lang.management.ManagementFactory;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.IntStream;
import wallmoor.peers.GroupMembership;
import wallmoor.peers.GroupView;
import wallmoor.peers.HeartbeatBaseline;
import wallmoor.peers.MembershipParameters;
import wallmoor.peers.MembershipUpdate;
import wallmoor.peers.SwimBaseline;
import wallmoor.peers.udp.MessageSizes;
import wallmoor.simulation.GroupSimulation;

/**
 * One run of a group on the model: it finds itself, is left quiet for a while, meets one fault for a while and is left
 * to settle. Deterministic but for the processor time.
 */
final class GroupTrial {
    private static final long SECOND = 1_000_000;
    private static final int QUIET_SECONDS = 10;
    private static final long MEET = 300 * SECOND;
    private static final long SETTLE = 120 * SECOND;
    private static final double LOSS = 0.8;
    private static final long PAUSE = 10 * SECOND;

    /** What goes wrong. One in a hundred members is bad, at least one; of kills and pauses a tenth where it says so. */
    enum InjectedFault {
        NONE, KILL_ONE, KILL_TENTH, LOSS_FROM, LOSS_TO, ONE_WAY, FLAP, PAUSE_TENTH, HALVES, FEW_CUT;

        int sick(int n) {
            return this == KILL_TENTH || this == PAUSE_TENTH ? Math.max(1, n / 10) : this == NONE || this == HALVES ? 0
                    : this == KILL_ONE ? 1 : Math.max(1, n / 100);
        }

        boolean kills() {
            return this == KILL_ONE || this == KILL_TENTH;
        }

        GroupSimulation.NetworkLink link(int n) {
            int bad = sick(n);
            int cut = cutFrom(n);
            return switch (this) {
                case LOSS_FROM -> (from, to, now, r) -> ill(from, n, bad) && r.nextDouble() < LOSS ? -1
                        : RELIABLE.delay(from, to, now, r);
                case LOSS_TO ->
                    (from, to, now, r) -> ill(to, n, bad) && r.nextDouble() < LOSS ? -1
                            : RELIABLE.delay(from, to, now, r);
                case ONE_WAY ->
                    (from, to, now, r) -> ill(from, n, bad) && to % 2 == 0 ? -1 : RELIABLE.delay(from, to, now, r);
                case FLAP -> (from, to, now, r) -> (ill(from, n, bad) || ill(to, n, bad)) && now / SECOND % 2 == 0 ? -1
                        : RELIABLE.delay(from, to, now, r);
                case HALVES, FEW_CUT ->
                    (from, to, now, r) -> from < cut != to < cut ? -1 : RELIABLE.delay(from, to, now, r);
                default -> RELIABLE;
            };
        }

        /** Members from this one on are cut off from those before it; nobody is where it is the group's size. */
        int cutFrom(int n) {
            return this == HALVES ? n / 2 + 1 : this == FEW_CUT ? n - sick(n) : n;
        }

        /** The last ones are: the first two are seeds. */
        private static boolean ill(int member, int n, int bad) {
            return member >= n - bad;
        }
    }

    private GroupTrial() {}

    /** Plays it; figures by name, times in milliseconds and -1 where it did not come to that. */
    static Map<String, Long> play(String way, int n, InjectedFault fault, long seed, long faultSeconds) {
        MembershipParameters rules = MembershipParameters.of(n);
        List<MembershipUpdate.Announcement> all = IntStream.range(0, n)
                .mapToObj(i -> new MembershipUpdate.Announcement(GroupSimulation.name(i), "a" + i, 0, 0, false))
                .toList();
        var group = new GroupSimulation(n, rules, seed, switch (way) {
            case "ours" -> GroupMembership::new;
            case "swim" ->
                (name, address, boot, seeds, r, s, actions) -> new SwimBaseline(name, address, boot, all, r, s,
                        actions);
            case "heartbeat" ->
                (name, address, boot, seeds, r, s, actions) -> new HeartbeatBaseline(name, address, boot, all, r,
                        actions);
            default -> throw new IllegalArgumentException("way: " + way + " is none of ours, swim, heartbeat");
        });
        var figures = new LinkedHashMap<String, Long>();
        group.startAll();
        figures.put("met_ms", way.equals("ours") ? millis(group.runUntilConverged(MEET)) : 0L);
        group.run(QUIET_SECONDS * SECOND);
        quiet(group, n, figures);
        struck(group, n, fault, faultSeconds, figures);
        return figures;
    }

    private static void quiet(GroupSimulation group, int n, Map<String, Long> figures) {
        long sent = group.sent();
        long cpu = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
        group.run(QUIET_SECONDS * SECOND);
        figures.put("cpu_us_per_s",
                (ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - cpu) / 1000 / QUIET_SECONDS / n);
        figures.put("messages_per_s", (group.sent() - sent) / QUIET_SECONDS / n);
        group.measureSizes(MessageSizes.onTheWire());
        group.run(QUIET_SECONDS * SECOND);
        figures.put("bytes_per_s", group.bytes() / QUIET_SECONDS / n);
        group.measureSizes(m -> 0);
    }

    private static void struck(GroupSimulation group, int n, InjectedFault fault, long seconds,
            Map<String, Long> figures) {
        int sick = fault.sick(n);
        long[] before = changes(group, n);
        group.setLink(fault.link(n));
        long detected = -1;
        if (fault.kills()) {
            IntStream.range(n - sick, n).forEach(group::kill);
            detected = millis(group.runUntilConverged(seconds * SECOND));
        } else if (fault == InjectedFault.PAUSE_TENTH) {
            IntStream.range(n - sick, n).forEach(i -> group.pause(i, PAUSE));
        }
        var gone = new TreeSet<Integer>();
        var seen = new GroupView[n];
        for (long s = 0; s < seconds && !fault.kills(); s++) {
            group.run(SECOND);
            note(group, n, seen, gone);
        }
        note(group, n, seen, gone);
        int up = fault.kills() ? n - sick : n;
        figures.put("false_quorums",
                IntStream.range(fault.cutFrom(n), n).filter(i -> group.view(i).hasQuorum()).count());
        figures.put("detected_ms", detected);
        figures.put("changes", most(changes(group, up), before));
        long[] healed = changes(group, up);
        group.setLink(RELIABLE);
        figures.put("agreed_ms", millis(group.runUntilConverged(SETTLE)));
        figures.put("changes_after", most(changes(group, up), healed));
        int sound = n - sick;
        figures.put("healthy_removed",
                fault == InjectedFault.HALVES ? 0 : gone.stream().filter(i -> i < sound).count());
    }

    /** Whom anybody holds removed. */
    private static void note(GroupSimulation group, int n, GroupView[] seen, Set<Integer> gone) {
        for (int i = 0; i < n; i++) {
            GroupView view = group.view(i);
            if (!view.equals(seen[i])) { // what was looked at already tells nothing new
                seen[i] = view;
                view.members().stream().filter(m -> m.state() == GroupView.MemberState.REMOVED)
                        .forEach(m -> gone.add(GroupSimulation.number(m.name())));
            }
        }
    }

    private static long[] changes(GroupSimulation group, int n) {
        return IntStream.range(0, n).mapToLong(group::viewChanges).toArray();
    }

    private static long most(long[] now, long[] before) {
        return IntStream.range(0, now.length).mapToLong(i -> now[i] - before[i]).max().orElse(0);
    }

    private static long millis(long micros) {
        return micros < 0 ? -1 : micros / 1000;
    }

    static InjectedFault fault(String name) {
        return InjectedFault.valueOf(name.toUpperCase(Locale.ROOT));
    }
}

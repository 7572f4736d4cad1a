package wallmoor.experiment;

import static wallmoor.model.GroupModel.SOUND;

import java.lang.management.ManagementFactory;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeSet;
import java.util.stream.IntStream;
import wallmoor.model.GroupModel;
import wallmoor.peers.Heartbeat;
import wallmoor.peers.News;
import wallmoor.peers.Peers;
import wallmoor.peers.Rules;
import wallmoor.peers.Swim;
import wallmoor.peers.View;
import wallmoor.peers.udp.Sizes;

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
    enum Fault {
        NONE, KILL_ONE, KILL_TENTH, LOSS_FROM, LOSS_TO, ONE_WAY, FLAP, PAUSE_TENTH, HALVES, FEW_CUT;

        int sick(int n) {
            return this == KILL_TENTH || this == PAUSE_TENTH ? Math.max(1, n / 10) : this == NONE || this == HALVES ? 0
                    : this == KILL_ONE ? 1 : Math.max(1, n / 100);
        }

        boolean kills() {
            return this == KILL_ONE || this == KILL_TENTH;
        }

        GroupModel.Link link(int n) {
            int bad = sick(n);
            int cut = cutFrom(n);
            return switch (this) {
                case LOSS_FROM -> (from, to, now, r) -> ill(from, n, bad) && r.nextDouble() < LOSS ? -1
                        : SOUND.delay(from, to, now, r);
                case LOSS_TO ->
                    (from, to, now, r) -> ill(to, n, bad) && r.nextDouble() < LOSS ? -1 : SOUND.delay(from, to, now, r);
                case ONE_WAY ->
                    (from, to, now, r) -> ill(from, n, bad) && to % 2 == 0 ? -1 : SOUND.delay(from, to, now, r);
                case FLAP -> (from, to, now, r) -> (ill(from, n, bad) || ill(to, n, bad)) && now / SECOND % 2 == 0 ? -1
                        : SOUND.delay(from, to, now, r);
                case HALVES, FEW_CUT ->
                    (from, to, now, r) -> from < cut != to < cut ? -1 : SOUND.delay(from, to, now, r);
                default -> SOUND;
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
    static Map<String, Long> play(String way, int n, Fault fault, long seed, long faultSeconds) {
        Rules rules = Rules.of(n);
        List<News.Told> all = IntStream.range(0, n)
                .mapToObj(i -> new News.Told(GroupModel.name(i), "a" + i, 0, 0, false)).toList();
        var group = new GroupModel(n, rules, seed, switch (way) {
            case "ours" -> Peers::new;
            case "swim" ->
                (name, address, boot, seeds, r, s, actions) -> new Swim(name, address, boot, all, r, s, actions);
            case "heartbeat" ->
                (name, address, boot, seeds, r, s, actions) -> new Heartbeat(name, address, boot, all, r, actions);
            default -> throw new IllegalArgumentException("way: " + way + " is none of ours, swim, heartbeat");
        });
        var figures = new LinkedHashMap<String, Long>();
        group.startAll();
        figures.put("met_ms", way.equals("ours") ? millis(group.untilAgreed(MEET)) : 0L);
        group.run(QUIET_SECONDS * SECOND);
        quiet(group, n, figures);
        struck(group, n, fault, faultSeconds, figures);
        return figures;
    }

    private static void quiet(GroupModel group, int n, Map<String, Long> figures) {
        long sent = group.sent();
        long cpu = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
        group.run(QUIET_SECONDS * SECOND);
        figures.put("cpu_us_per_s",
                (ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - cpu) / 1000 / QUIET_SECONDS / n);
        figures.put("messages_per_s", (group.sent() - sent) / QUIET_SECONDS / n);
        group.weigh(Sizes.onTheWire());
        group.run(QUIET_SECONDS * SECOND);
        figures.put("bytes_per_s", group.bytes() / QUIET_SECONDS / n);
        group.weigh(m -> 0);
    }

    private static void struck(GroupModel group, int n, Fault fault, long seconds, Map<String, Long> figures) {
        int sick = fault.sick(n);
        long[] before = changes(group, n);
        group.link(fault.link(n));
        long detected = -1;
        if (fault.kills()) {
            IntStream.range(n - sick, n).forEach(group::kill);
            detected = millis(group.untilAgreed(seconds * SECOND));
        } else if (fault == Fault.PAUSE_TENTH) {
            IntStream.range(n - sick, n).forEach(i -> group.pause(i, PAUSE));
        }
        var gone = new TreeSet<Integer>();
        var seen = new View[n];
        for (long s = 0; s < seconds && !fault.kills(); s++) {
            group.run(SECOND);
            note(group, n, seen, gone);
        }
        note(group, n, seen, gone);
        int up = fault.kills() ? n - sick : n;
        figures.put("false_quorums", IntStream.range(fault.cutFrom(n), n).filter(i -> group.view(i).quorum()).count());
        figures.put("detected_ms", detected);
        figures.put("changes", most(changes(group, up), before));
        long[] healed = changes(group, up);
        group.link(SOUND);
        figures.put("agreed_ms", millis(group.untilAgreed(SETTLE)));
        figures.put("changes_after", most(changes(group, up), healed));
        int sound = n - sick;
        figures.put("healthy_removed", fault == Fault.HALVES ? 0 : gone.stream().filter(i -> i < sound).count());
    }

    /** Whom anybody holds removed. */
    private static void note(GroupModel group, int n, View[] seen, TreeSet<Integer> gone) {
        for (int i = 0; i < n; i++) {
            View view = group.view(i);
            if (view != seen[i]) { // what was looked at already tells nothing new
                seen[i] = view;
                view.members().stream().filter(m -> m.state() == View.State.REMOVED)
                        .forEach(m -> gone.add(GroupModel.number(m.name())));
            }
        }
    }

    private static long[] changes(GroupModel group, int n) {
        return IntStream.range(0, n).mapToLong(group::changes).toArray();
    }

    private static long most(long[] now, long[] before) {
        return IntStream.range(0, now.length).mapToLong(i -> now[i] - before[i]).max().orElse(0);
    }

    private static long millis(long micros) {
        return micros < 0 ? -1 : micros / 1000;
    }

    static Fault fault(String name) {
        return Fault.valueOf(name.toUpperCase(Locale.ROOT));
    }
}

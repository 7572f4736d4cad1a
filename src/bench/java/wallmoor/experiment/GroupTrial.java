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
 * Runs one simulated group: it forms, stays quiet for a while, suffers one fault and is left to recover. The result is
 * deterministic except for the processor time.
 */
final class GroupTrial {
    private static final long SECOND_MICROS = 1_000_000;
    private static final int QUIET_SECONDS = 10;
    private static final long MAX_JOIN_MICROS = 300 * SECOND_MICROS;
    private static final long MAX_RECOVERY_MICROS = 120 * SECOND_MICROS;
    private static final double LOSS_SHARE = 0.8;
    private static final long PAUSE_MICROS = 10 * SECOND_MICROS;

    /**
     * The fault of a trial. One in a hundred members is affected, at least one; for kills and pauses of a tenth, one in
     * ten.
     */
    enum InjectedFault {
        NONE, KILL_ONE, KILL_TENTH, LOSS_FROM, LOSS_TO, ONE_WAY, FLAP, PAUSE_TENTH, HALVES, FEW_CUT;

        int affected(int groupSize) {
            return this == KILL_TENTH || this == PAUSE_TENTH ? Math.max(1, groupSize / 10) : this == NONE
                    || this == HALVES ? 0
                            : this == KILL_ONE ? 1 : Math.max(1, groupSize / 100);
        }

        boolean isKill() {
            return this == KILL_ONE || this == KILL_TENTH;
        }

        GroupSimulation.NetworkLink link(int groupSize) {
            int affected = affected(groupSize);
            int cut = cutFrom(groupSize);
            return switch (this) {
                case LOSS_FROM -> (from, to, now, r) -> isAffected(from, groupSize, affected)
                        && r.nextDouble() < LOSS_SHARE ? -1
                                : RELIABLE.delay(from, to, now, r);
                case LOSS_TO ->
                    (from, to, now, r) -> isAffected(to, groupSize, affected) && r.nextDouble() < LOSS_SHARE ? -1
                            : RELIABLE.delay(from, to, now, r);
                case ONE_WAY ->
                    (from, to, now, r) -> isAffected(from, groupSize, affected) && to % 2 == 0 ? -1
                            : RELIABLE.delay(from, to, now, r);
                case FLAP -> (from, to, now, r) -> (isAffected(from, groupSize, affected)
                        || isAffected(to, groupSize, affected)) && now / SECOND_MICROS % 2 == 0 ? -1
                                : RELIABLE.delay(from, to, now, r);
                case HALVES, FEW_CUT ->
                    (from, to, now, r) -> from < cut != to < cut ? -1 : RELIABLE.delay(from, to, now, r);
                default -> RELIABLE;
            };
        }

        /**
         * Returns the number of the first member that is cut off from those before it, or the group size if no member
         * is cut off.
         */
        int cutFrom(int groupSize) {
            return this == HALVES ? groupSize / 2 + 1 : this == FEW_CUT ? groupSize - affected(groupSize) : groupSize;
        }

        /** Returns whether a member is affected. The last members are, because the first two are seeds. */
        private static boolean isAffected(int member, int groupSize, int affected) {
            return member >= groupSize - affected;
        }
    }

    private GroupTrial() {}

    /** Runs the trial and returns its figures by name; times are in milliseconds, -1 if the state was not reached. */
    static Map<String, Long> run(String way, int groupSize, InjectedFault fault, long seed, long faultSeconds) {
        MembershipParameters parameters = MembershipParameters.of(groupSize);
        List<MembershipUpdate.Announcement> announcements = IntStream.range(0, groupSize)
                .mapToObj(i -> new MembershipUpdate.Announcement(GroupSimulation.name(i), "a" + i, 0, 0, false))
                .toList();
        var group = new GroupSimulation(groupSize, parameters, seed, switch (way) {
            case "ours" -> GroupMembership::new;
            case "swim" ->
                (name, address, boot, seeds, r, s, actions) -> new SwimBaseline(name, address, boot, announcements, r,
                        s,
                        actions);
            case "heartbeat" ->
                (name, address, boot, seeds, r, s, actions) -> new HeartbeatBaseline(name, address, boot,
                        announcements, r,
                        actions);
            default -> throw new IllegalArgumentException("unknown way \"" + way
                    + "\"; allowed: ours, swim, heartbeat");
        });
        var figures = new LinkedHashMap<String, Long>();
        group.startAll();
        figures.put("met_ms", way.equals("ours") ? millis(group.runUntilConverged(MAX_JOIN_MICROS)) : 0L);
        group.run(QUIET_SECONDS * SECOND_MICROS);
        measureQuiet(group, groupSize, figures);
        measureFault(group, groupSize, fault, faultSeconds, figures);
        return figures;
    }

    private static void measureQuiet(GroupSimulation group, int groupSize, Map<String, Long> figures) {
        long sent = group.sent();
        long cpu = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
        group.run(QUIET_SECONDS * SECOND_MICROS);
        figures.put("cpu_us_per_s",
                (ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - cpu) / 1000 / QUIET_SECONDS
                        / groupSize);
        figures.put("messages_per_s", (group.sent() - sent) / QUIET_SECONDS / groupSize);
        group.measureSizes(MessageSizes.onTheWire());
        group.run(QUIET_SECONDS * SECOND_MICROS);
        figures.put("bytes_per_s", group.bytes() / QUIET_SECONDS / groupSize);
        group.measureSizes(m -> 0);
    }

    private static void measureFault(GroupSimulation group, int groupSize, InjectedFault fault, long seconds,
            Map<String, Long> figures) {
        int affected = fault.affected(groupSize);
        long[] baseline = changes(group, groupSize);
        group.setLink(fault.link(groupSize));
        long detected = -1;
        if (fault.isKill()) {
            IntStream.range(groupSize - affected, groupSize).forEach(group::kill);
            detected = millis(group.runUntilConverged(seconds * SECOND_MICROS));
        } else if (fault == InjectedFault.PAUSE_TENTH) {
            IntStream.range(groupSize - affected, groupSize).forEach(i -> group.pause(i, PAUSE_MICROS));
        }
        var removedMembers = new TreeSet<Integer>();
        var lastViews = new GroupView[groupSize];
        for (long s = 0; s < seconds && !fault.isKill(); s++) {
            group.run(SECOND_MICROS);
            addRemovedMembers(group, groupSize, lastViews, removedMembers);
        }
        addRemovedMembers(group, groupSize, lastViews, removedMembers);
        int running = fault.isKill() ? groupSize - affected : groupSize;
        figures.put("false_quorums",
                IntStream.range(fault.cutFrom(groupSize), groupSize).filter(i -> group.view(i).hasQuorum()).count());
        figures.put("detected_ms", detected);
        figures.put("changes", maxIncrease(changes(group, running), baseline));
        long[] changesAtRecovery = changes(group, running);
        group.setLink(RELIABLE);
        figures.put("agreed_ms", millis(group.runUntilConverged(MAX_RECOVERY_MICROS)));
        figures.put("changes_after", maxIncrease(changes(group, running), changesAtRecovery));
        int healthy = groupSize - affected;
        figures.put("healthy_removed",
                fault == InjectedFault.HALVES ? 0 : removedMembers.stream().filter(i -> i < healthy).count());
    }

    /** Adds the members that any member considers removed. */
    private static void addRemovedMembers(GroupSimulation group, int groupSize, GroupView[] lastViews,
            Set<Integer> removedMembers) {
        for (int i = 0; i < groupSize; i++) {
            GroupView view = group.view(i);
            if (!view.equals(lastViews[i])) { // an unchanged view adds nothing
                lastViews[i] = view;
                view.members().stream().filter(m -> m.state() == GroupView.MemberState.REMOVED)
                        .forEach(m -> removedMembers.add(GroupSimulation.number(m.name())));
            }
        }
    }

    private static long[] changes(GroupSimulation group, int groupSize) {
        return IntStream.range(0, groupSize).mapToLong(group::viewChanges).toArray();
    }

    private static long maxIncrease(long[] now, long[] baseline) {
        return IntStream.range(0, now.length).mapToLong(i -> now[i] - baseline[i]).max().orElse(0);
    }

    private static long millis(long micros) {
        return micros < 0 ? -1 : micros / 1000;
    }

    static InjectedFault fault(String name) {
        return InjectedFault.valueOf(name.toUpperCase(Locale.ROOT));
    }
}

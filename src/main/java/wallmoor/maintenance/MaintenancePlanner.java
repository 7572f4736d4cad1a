package wallmoor.maintenance;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import wallmoor.maintenance.SchedulingProblem.Job;

/** Finds an order for all wishes that have not begun, beside what is out. The same input has the same answer. */
public final class MaintenancePlanner {
    /** Beyond it one order alone is tried where all is in time. */
    private static final int MANY = 2_000;

    private MaintenancePlanner() {}

    /** The order of wishes, with nothing begun. */
    public static SchedulingResult plan(long now, List<MaintenanceRequest> wishes, FleetSnapshot fleet,
            Budgets budgets) {
        return among(now, wishes.stream().map(w -> RequestStatus.asked(w, now)).toList(), fleet, budgets);
    }

    static SchedulingResult among(long now, List<RequestStatus> all, FleetSnapshot fleet, Budgets budgets) {
        SchedulingProblem p = new SchedulingProblem(now, all, fleet, budgets, false);
        ListSchedule run = best(p);
        if (run.all()) {
            return new SchedulingResult.Schedule(run.whole(p), run.ends, ScheduleLowerBound.least(p));
        }
        SchedulingProblem healed = new SchedulingProblem(now, all, fleet, budgets, true);
        ListSchedule could = best(healed);
        if (could.all()) {
            ScheduleConflictFinder.Found f = ScheduleConflictFinder.of(p, run.lost);
            return new SchedulingResult.WaitsForRecovery(f.reasons(), f.smallest());
        }
        ScheduleConflictFinder.Found f = ScheduleConflictFinder.of(healed, could.lost);
        return new SchedulingResult.Infeasible(f.reasons(), f.smallest(), f.proven());
    }

    private static ListSchedule best(SchedulingProblem p) {
        ListSchedule best = null;
        for (List<Job> order : orders(p)) {
            ListSchedule run = new ListSchedule(p, order, r -> true);
            if (best == null || run.lost.size() < best.lost.size() || run.all() && best.all() && run.ends < best.ends) {
                best = run;
            }
            if (best.all() && p.jobs.size() > MANY) {
                break;
            }
        }
        if (!best.all() && p.jobs.size() <= ExhaustiveScheduler.MOST_JOBS
                && p.jobs.stream().anyMatch(j -> j.request().deadline() != MaintenanceRequest.NO_DEADLINE)) {
            ListSchedule found = permuted(p, new ArrayList<>(), new ArrayList<>(p.jobs));
            best = found == null ? best : found;
        }
        return best;
    }

    private static ListSchedule permuted(SchedulingProblem p, List<Job> order, List<Job> left) {
        if (left.isEmpty()) {
            ListSchedule run = new ListSchedule(p, order, r -> true);
            return run.all() ? run : null;
        }
        for (Job j : List.copyOf(left)) {
            order.add(j);
            left.remove(j);
            ListSchedule run = permuted(p, order, left);
            order.remove(order.size() - 1);
            left.add(j);
            if (run != null) {
                return run;
            }
        }
        return null;
    }

    /** By who must begin first; then by who stands in most others' way, or lasts longest. */
    private static List<List<Job>> orders(SchedulingProblem p) {
        Map<String, Long> latest = latest(p);
        Map<String, Integer> twins = twins(p);
        Comparator<Job> first = Comparator.comparing(j -> latest.get(j.request().machine()));
        Comparator<Job> name = Comparator.comparing(j -> j.request().machine());
        Comparator<Job> longest = Comparator.comparing(j -> -j.outageMillis());
        Comparator<Job> crowded = Comparator.comparing(j -> -twins.getOrDefault(j.request().machine(), 0));
        return List.of(
                p.jobs.stream().sorted(first.thenComparing(crowded).thenComparing(longest).thenComparing(name))
                        .toList(),
                p.jobs.stream().sorted(first.thenComparing(longest).thenComparing(crowded).thenComparing(name))
                        .toList(),
                p.jobs.stream().sorted(longest.thenComparing(first).thenComparing(name)).toList());
    }

    /** When each must begin at the latest, for itself and for those pinned behind it. */
    private static Map<String, Long> latest(SchedulingProblem p) {
        Map<String, Long> latest = new HashMap<>();
        Map<String, Job> jobs = new HashMap<>();
        p.jobs.forEach(j -> {
            jobs.put(j.request().machine(), j);
            latest.put(j.request().machine(), j.request().deadline() == MaintenanceRequest.NO_DEADLINE
                    ? MaintenanceRequest.NO_DEADLINE : j.request().deadline() - j.outageMillis());
        });
        boolean more = true;
        for (int i = 0; more && i <= p.jobs.size(); i++) { // a circle of pins is told elsewhere
            more = false;
            for (Job j : p.jobs) {
                long own = latest.get(j.request().machine());
                for (String a : p.precedence.predecessors(j.request().machine())) {
                    if (jobs.containsKey(a) && own != MaintenanceRequest.NO_DEADLINE
                            && latest.get(a) > own - jobs.get(a).outageMillis()) {
                        latest.put(a, own - jobs.get(a).outageMillis());
                        more = true;
                    }
                }
            }
        }
        return latest;
    }

    /** How many other jobs a machine shares a block with that not all may leave at once. */
    private static Map<String, Integer> twins(SchedulingProblem p) {
        Map<String, Set<String>> beside = new HashMap<>();
        p.fleet.blocks()
                .forEach(b -> b.holders()
                        .forEach(m -> beside.computeIfAbsent(m, k -> new HashSet<>()).addAll(b.holders())));
        Map<String, Integer> twins = new HashMap<>();
        beside.forEach((m, s) -> twins.put(m, s.size()));
        return twins;
    }
}

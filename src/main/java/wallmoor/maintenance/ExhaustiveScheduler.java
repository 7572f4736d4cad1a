package wallmoor.maintenance;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;
import wallmoor.maintenance.SchedulingProblem.ExistingOutage;
import wallmoor.maintenance.SchedulingProblem.Job;

/**
 * Whether few jobs can be done at all, also by letting a machine wait that might go. Every order in which those with a
 * time (and those before them) are given their earliest beside the ones that have one is tried: one of these orders is
 * as early as any schedule, for every job.
 */
final class ExhaustiveScheduler {
    /** Of so many jobs all orders (720) are tried. */
    static final int MOST_JOBS = 6;

    private record Placed(Job job, long from, long to) {}

    private final SchedulingProblem p;
    private final Predicate<MaintenanceConstraint> keeps;
    private final Map<Job, List<String>> first = new HashMap<>();
    private final boolean hours;
    private final OutageLedger book;
    private final Set<Job> needed = new HashSet<>();

    private ExhaustiveScheduler(SchedulingProblem p, Predicate<MaintenanceConstraint> keeps) {
        this.p = p;
        this.keeps = keeps;
        this.book = new OutageLedger(p.fleet, p.budgets, keeps);
        this.hours = keeps.test(MaintenanceConstraint.budget(MaintenanceRule.HOURS, "hours"));
        p.jobs.forEach(j -> first.put(j, p.predecessors(j).stream()
                .filter(a -> keeps.test(MaintenanceConstraint.of(MaintenanceRule.PIN, a, j.request().machine())))
                .toList()));
        p.jobs.stream().filter(this::timed).forEach(this::need);
    }

    static boolean possible(SchedulingProblem p, Predicate<MaintenanceConstraint> keeps) {
        return new ExhaustiveScheduler(p, keeps).rest(new ArrayList<>());
    }

    private boolean timed(Job j) {
        return j.request().deadline() != MaintenanceRequest.NO_DEADLINE
                && keeps.test(MaintenanceConstraint.of(MaintenanceRule.BY, j.request().machine()));
    }

    /** A job with a time, and all that come before it. The others can be put behind them: their order is no matter. */
    private void need(Job j) {
        if (needed.add(j)) {
            p.jobs.stream().filter(k -> first.get(j).contains(k.request().machine())).forEach(this::need);
        }
    }

    private boolean rest(List<Placed> placed) {
        boolean open = false;
        for (Job j : p.jobs) {
            if (!has(placed, j) && needed.contains(j)) {
                open = true;
                if (ready(j, placed) && earliest(j, placed) < 0) {
                    return false; // and not with more beside it
                }
            }
        }
        if (!open) {
            return behind(new ArrayList<>(placed));
        }
        for (Job j : p.jobs) {
            if (!has(placed, j) && needed.contains(j) && ready(j, placed)) {
                long at = earliest(j, placed);
                placed.add(new Placed(j, at, at + j.outageMillis()));
                if (rest(placed)) {
                    return true;
                }
                placed.remove(placed.size() - 1);
            }
        }
        return false;
    }

    private boolean behind(List<Placed> placed) {
        boolean more = true;
        while (more) {
            more = false;
            for (Job j : p.jobs) {
                long at = has(placed, j) || !ready(j, placed) ? -1 : earliest(j, placed);
                if (at >= 0) {
                    placed.add(new Placed(j, at, at + j.outageMillis()));
                    more = true;
                }
            }
        }
        return placed.size() == p.jobs.size();
    }

    private static boolean has(List<Placed> placed, Job j) {
        return placed.stream().anyMatch(x -> x.job() == j);
    }

    /** Whether all jobs that come before it have their time. */
    private boolean ready(Job j, List<Placed> placed) {
        return p.jobs.stream().allMatch(k -> !first.get(j).contains(k.request().machine()) || has(placed, k));
    }

    /** The earliest time beside those that have one, or -1. */
    private long earliest(Job j, List<Placed> placed) {
        if (j.machineIndex() < 0) {
            return -1;
        }
        long from = p.now;
        for (String a : first.get(j)) {
            long end = placed.stream().filter(x -> x.job().request().machine().equals(a)).mapToLong(Placed::to)
                    .findFirst()
                    .orElseGet(
                            () -> p.outages.stream().filter(f -> f.machine().equals(a)).mapToLong(ExistingOutage::until)
                                    .findFirst()
                                    .orElse(SchedulingProblem.NEVER));
            if (end == SchedulingProblem.NEVER) {
                return -1;
            }
            from = Math.max(from, end);
        }
        var times = new TreeSet<Long>(List.of(from));
        placed.forEach(x -> times.add(x.to()));
        p.outages.stream().filter(f -> f.until() != SchedulingProblem.NEVER).forEach(f -> times.add(f.until()));
        for (long t : new ArrayList<>(times.tailSet(from))) {
            if (hours) {
                long next = p.budgets.windows().nextStart(t, j.outageMillis());
                if (next < 0) {
                    return -1;
                }
                times.add(next);
            }
        }
        for (long t : times.tailSet(from)) {
            if (t + j.outageMillis() > j.request().deadline()
                    && keeps.test(MaintenanceConstraint.of(MaintenanceRule.BY, j.request().machine()))) {
                return -1;
            }
            if ((!hours || p.budgets.windows().nextStart(t, j.outageMillis()) == t) && fits(j, t, placed)) {
                return t;
            }
        }
        return -1;
    }

    private boolean fits(Job j, long from, List<Placed> placed) {
        long to = from + j.outageMillis();
        var looks = new TreeSet<Long>(List.of(from));
        placed.stream().filter(x -> x.from() > from && x.from() < to).forEach(x -> looks.add(x.from()));
        for (long t : looks) {
            p.outages.stream().filter(f -> f.until() > t)
                    .forEach(f -> book.takeOut(f.machineIndex(), f.capacityShare()));
            placed.stream().filter(x -> x.from() <= t && t < x.to()).forEach(x -> book.takeOut(x.job().machineIndex()));
            boolean fits = !book.isOut(j.machineIndex()) && book.fits(j.machineIndex());
            p.outages.forEach(f -> book.putBack(f.machineIndex()));
            placed.forEach(x -> book.putBack(x.job().machineIndex()));
            if (!fits) {
                return false;
            }
        }
        return true;
    }
}

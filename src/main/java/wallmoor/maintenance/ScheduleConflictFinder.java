package wallmoor.maintenance;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import wallmoor.maintenance.SchedulingProblem.Job;

/** Why there is no order: the fewest rules that can't be kept together. */
final class ScheduleConflictFinder {
    /** Sets of rules that are tried; each costs up to 720 orders for each rule. */
    private static final int MOST_SETS = 100;
    /** Jobs of a large fleet that are looked at one by one. */
    private static final int MOST_LOOKS = 200;

    /** @param proven that none exists, and not just that none was found */
    record Found(List<MaintenanceConstraint> reasons, boolean smallest, boolean proven) {}

    private final SchedulingProblem p;

    private ScheduleConflictFinder(SchedulingProblem p) {
        this.p = p;
    }

    /** Of a problem that no order was found for. @param lost the jobs that didn't go in the best */
    static Found of(SchedulingProblem p, List<Job> lost) {
        return new ScheduleConflictFinder(p).find(lost);
    }

    private Found find(List<Job> lost) {
        Found best = null;
        for (Job j : lost.subList(0, Math.min(MOST_LOOKS, lost.size()))) {
            if (j.machineIndex() < 0 || p.outages.stream()
                    .anyMatch(f -> f.machineIndex() == j.machineIndex() && f.until() == SchedulingProblem.NEVER)) {
                return new Found(List.of(MaintenanceConstraint.of(MaintenanceRule.ITSELF, j.request().machine())), true,
                        true);
            }
            SchedulingProblem one = p.of(List.of(j));
            if (!ExhaustiveScheduler.possible(one, r -> true)) {
                Found f = new ScheduleConflictFinder(one).fewest();
                best = best == null || f.reasons().size() < best.reasons().size() ? f : best;
                if (best.reasons().size() == 1) {
                    return best;
                }
            }
        }
        if (best == null || p.jobs.size() <= ExhaustiveScheduler.MOST_JOBS) {
            Found more = circle();
            if (more == null && p.jobs.size() <= ExhaustiveScheduler.MOST_JOBS
                    && !ExhaustiveScheduler.possible(p, r -> true)) {
                more = fewest();
            }
            best = best == null || more != null && more.reasons().size() < best.reasons().size() ? more : best;
        }
        return best != null ? best : new Found(late(lost), false, false);
    }

    /**
     * The fewest rules, by hitting sets: of each set of rules that can be kept together, one that it leaves out is a
     * reason. The fewest that hit all such sets are tried until they can't be kept; then no fewer can't.
     */
    private Found fewest() {
        List<MaintenanceConstraint> rules = rules();
        List<Set<MaintenanceConstraint>> hit = new ArrayList<>();
        for (int tried = 0; tried < MOST_SETS; tried++) {
            Set<MaintenanceConstraint> some = new LinkedHashSet<>();
            for (int most = 0; !hits(hit, some, most); most++) {
                some.clear();
            }
            if (!ExhaustiveScheduler.possible(p, keeping(some))) {
                return new Found(List.copyOf(some), true, true);
            }
            Set<MaintenanceConstraint> out = new LinkedHashSet<>();
            for (MaintenanceConstraint r : rules) { // as many as can be kept with these
                if (some.add(r) && !ExhaustiveScheduler.possible(p, keeping(some))) {
                    some.remove(r);
                    out.add(r);
                }
            }
            hit.add(out);
        }
        return new Found(leaveOut(rules), false, true);
    }

    /** Adds to the rules so that each set is hit, by so many more at most. */
    private static boolean hits(List<Set<MaintenanceConstraint>> sets, Set<MaintenanceConstraint> by, int most) {
        for (Set<MaintenanceConstraint> set : sets) {
            if (set.stream().noneMatch(by::contains)) {
                for (MaintenanceConstraint r : most == 0 ? Set.<MaintenanceConstraint>of() : set) {
                    by.add(r);
                    if (hits(sets, by, most - 1)) {
                        return true;
                    }
                    by.remove(r);
                }
                return false;
            }
        }
        return true;
    }

    private List<MaintenanceConstraint> leaveOut(List<MaintenanceConstraint> rules) {
        Set<MaintenanceConstraint> kept = new LinkedHashSet<>(rules);
        for (MaintenanceConstraint r : rules) {
            kept.remove(r);
            if (ExhaustiveScheduler.possible(p, keeping(kept))) {
                kept.add(r);
            }
        }
        return List.copyOf(kept);
    }

    private static Predicate<MaintenanceConstraint> keeping(Set<MaintenanceConstraint> some) {
        return r -> some.contains(r) || r.rule() == MaintenanceRule.ITSELF;
    }

    /** All that may stand against these jobs. */
    private List<MaintenanceConstraint> rules() {
        Set<MaintenanceConstraint> rules = new LinkedHashSet<>();
        Set<List<String>> seen = new HashSet<>();
        for (BlockHolders b : p.fleet.blocks()) {
            if (seen.add(b.holders())) { // of blocks on the same machines one says it all
                rules.add(OutageLedger.cover(b));
            }
        }
        rules.add(MaintenanceConstraint.budget(MaintenanceRule.AT_ONCE, "at_once"));
        p.budgets.maxOutByCentre().keySet()
                .forEach(c -> rules.add(MaintenanceConstraint.budget(MaintenanceRule.CENTRE, "centres." + c)));
        rules.add(MaintenanceConstraint.budget(MaintenanceRule.CAPACITY, "capacity_kept"));
        rules.add(MaintenanceConstraint.budget(MaintenanceRule.GATHERERS, "gatherers_kept"));
        rules.add(MaintenanceConstraint.of(MaintenanceRule.VOTERS));
        for (Job j : p.jobs) {
            if (j.request().deadline() != MaintenanceRequest.NO_DEADLINE) {
                rules.add(MaintenanceConstraint.of(MaintenanceRule.BY, j.request().machine()));
            }
            p.predecessors(j)
                    .forEach(a -> rules.add(MaintenanceConstraint.of(MaintenanceRule.PIN, a, j.request().machine())));
        }
        if (!p.budgets.windows().windows().isEmpty()) {
            rules.add(MaintenanceConstraint.budget(MaintenanceRule.HOURS, "hours"));
        }
        return List.copyOf(rules);
    }

    /** The shortest circle of pins, or null. */
    private Found circle() {
        List<String> best = null;
        for (Job j : p.jobs) {
            List<List<String>> paths = new ArrayList<>(List.of(List.of(j.request().machine())));
            Set<String> seen = new HashSet<>();
            for (int i = 0; i < paths.size(); i++) { // breadth first, from one back to itself
                List<String> path = paths.get(i);
                for (String a : p.precedence.predecessors(path.get(path.size() - 1))) {
                    if (a.equals(path.get(0)) && (best == null || path.size() < best.size())) {
                        best = path;
                    }
                    if (seen.add(a)) {
                        List<String> longer = new ArrayList<>(path);
                        longer.add(a);
                        paths.add(longer);
                    }
                }
            }
            if (p.jobs.size() > MOST_LOOKS && best != null) {
                break;
            }
        }
        if (best == null) {
            return null;
        }
        var reasons = new ArrayList<MaintenanceConstraint>();
        for (int i = 0; i < best.size(); i++) {
            reasons.add(MaintenanceConstraint.of(MaintenanceRule.PIN, best.get((i + 1) % best.size()), best.get(i)));
        }
        return new Found(reasons, true, true);
    }

    /** Where nothing is proven: the times that are missed, and what was kept meanwhile. */
    private List<MaintenanceConstraint> late(List<Job> lost) {
        var reasons = new ArrayList<MaintenanceConstraint>();
        lost.stream().filter(j -> j.request().deadline() != MaintenanceRequest.NO_DEADLINE)
                .forEach(j -> reasons.add(MaintenanceConstraint.of(MaintenanceRule.BY, j.request().machine())));
        rules().stream()
                .filter(r -> r.rule() == MaintenanceRule.AT_ONCE || r.rule() == MaintenanceRule.CENTRE
                        || r.rule() == MaintenanceRule.CAPACITY
                        || r.rule() == MaintenanceRule.HOURS)
                .forEach(reasons::add);
        return reasons;
    }
}

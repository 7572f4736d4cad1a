package wallmoor.maintenance;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import wallmoor.maintenance.Problem.Job;

/** Why there is no order: the fewest rules that can't be kept together. */
final class MinimalConflict {
    /** Sets of rules that are tried; each costs up to 720 orders for each rule. */
    private static final int MOST_SETS = 100;
    /** Jobs of a large fleet that are looked at one by one. */
    private static final int MOST_LOOKS = 200;

    /** @param proven that none exists, and not just that none was found */
    record Found(List<Reason> reasons, boolean smallest, boolean proven) {}

    private final Problem p;

    private MinimalConflict(Problem p) {
        this.p = p;
    }

    /** Of a problem that no order was found for. @param lost the jobs that didn't go in the best */
    static Found of(Problem p, List<Job> lost) {
        return new MinimalConflict(p).find(lost);
    }

    private Found find(List<Job> lost) {
        Found best = null;
        for (Job j : lost.subList(0, Math.min(MOST_LOOKS, lost.size()))) {
            if (j.place() < 0 || p.fixed.stream().anyMatch(f -> f.place() == j.place() && f.until() == Problem.NEVER)) {
                return new Found(List.of(Reason.of(Rule.ITSELF, j.wish().machine())), true, true);
            }
            Problem one = p.of(List.of(j));
            if (!Exact.possible(one, r -> true)) {
                Found f = new MinimalConflict(one).fewest();
                best = best == null || f.reasons().size() < best.reasons().size() ? f : best;
                if (best.reasons().size() == 1) {
                    return best;
                }
            }
        }
        if (best == null || p.jobs.size() <= Exact.MOST_JOBS) {
            Found more = circle();
            if (more == null && p.jobs.size() <= Exact.MOST_JOBS && !Exact.possible(p, r -> true)) {
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
        List<Reason> rules = rules();
        List<Set<Reason>> hit = new ArrayList<>();
        for (int tried = 0; tried < MOST_SETS; tried++) {
            Set<Reason> some = new LinkedHashSet<>();
            for (int most = 0; !hits(hit, some, most); most++) {
                some.clear();
            }
            if (!Exact.possible(p, keeping(some))) {
                return new Found(List.copyOf(some), true, true);
            }
            Set<Reason> out = new LinkedHashSet<>();
            for (Reason r : rules) { // as many as can be kept with these
                if (some.add(r) && !Exact.possible(p, keeping(some))) {
                    some.remove(r);
                    out.add(r);
                }
            }
            hit.add(out);
        }
        return new Found(leaveOut(rules), false, true);
    }

    /** Adds to the rules so that each set is hit, by so many more at most. */
    private static boolean hits(List<Set<Reason>> sets, Set<Reason> by, int most) {
        for (Set<Reason> set : sets) {
            if (set.stream().noneMatch(by::contains)) {
                for (Reason r : most == 0 ? Set.<Reason>of() : set) {
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

    private List<Reason> leaveOut(List<Reason> rules) {
        Set<Reason> kept = new LinkedHashSet<>(rules);
        for (Reason r : rules) {
            kept.remove(r);
            if (Exact.possible(p, keeping(kept))) {
                kept.add(r);
            }
        }
        return List.copyOf(kept);
    }

    private static Predicate<Reason> keeping(Set<Reason> some) {
        return r -> some.contains(r) || r.rule() == Rule.ITSELF;
    }

    /** All that may stand against these jobs. */
    private List<Reason> rules() {
        Set<Reason> rules = new LinkedHashSet<>();
        Set<List<String>> seen = new HashSet<>();
        for (Block b : p.fleet.blocks()) {
            if (seen.add(b.on())) { // of blocks on the same machines one says it all
                rules.add(OutageLedger.cover(b));
            }
        }
        rules.add(Reason.budget(Rule.AT_ONCE, "at_once"));
        p.budgets.centres().keySet().forEach(c -> rules.add(Reason.budget(Rule.CENTRE, "centres." + c)));
        rules.add(Reason.budget(Rule.CAPACITY, "capacity_kept"));
        rules.add(Reason.budget(Rule.GATHERERS, "gatherers_kept"));
        rules.add(Reason.of(Rule.VOTERS));
        for (Job j : p.jobs) {
            if (j.wish().by() != Wish.ANY_TIME) {
                rules.add(Reason.of(Rule.BY, j.wish().machine()));
            }
            p.before(j).forEach(a -> rules.add(Reason.of(Rule.PIN, a, j.wish().machine())));
        }
        if (!p.budgets.hours().windows().isEmpty()) {
            rules.add(Reason.budget(Rule.HOURS, "hours"));
        }
        return List.copyOf(rules);
    }

    /** The shortest circle of pins, or null. */
    private Found circle() {
        List<String> best = null;
        for (Job j : p.jobs) {
            List<List<String>> paths = new ArrayList<>(List.of(List.of(j.wish().machine())));
            Set<String> seen = new HashSet<>();
            for (int i = 0; i < paths.size(); i++) { // breadth first, from one back to itself
                List<String> path = paths.get(i);
                for (String a : p.pins.before(path.get(path.size() - 1))) {
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
        var reasons = new ArrayList<Reason>();
        for (int i = 0; i < best.size(); i++) {
            reasons.add(Reason.of(Rule.PIN, best.get((i + 1) % best.size()), best.get(i)));
        }
        return new Found(reasons, true, true);
    }

    /** Where nothing is proven: the times that are missed, and what was kept meanwhile. */
    private List<Reason> late(List<Job> lost) {
        var reasons = new ArrayList<Reason>();
        lost.stream().filter(j -> j.wish().by() != Wish.ANY_TIME)
                .forEach(j -> reasons.add(Reason.of(Rule.BY, j.wish().machine())));
        rules().stream().filter(r -> r.rule() == Rule.AT_ONCE || r.rule() == Rule.CENTRE || r.rule() == Rule.CAPACITY
                || r.rule() == Rule.HOURS).forEach(reasons::add);
        return reasons;
    }
}

package wallmoor.maintenance;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import wallmoor.maintenance.Problem.Job;

/** Finds an order for all wishes that have not begun, beside what is out. The same input has the same answer. */
public final class Planner {
    /** Beyond it one order alone is tried where all is in time. */
    private static final int MANY = 2_000;

    private Planner() {}

    /** The order of wishes, with nothing begun. */
    public static Answer plan(long now, List<Wish> wishes, Fleet fleet, Budgets budgets) {
        return among(now, wishes.stream().map(w -> Standing.asked(w, now)).toList(), fleet, budgets);
    }

    static Answer among(long now, List<Standing> all, Fleet fleet, Budgets budgets) {
        Problem p = new Problem(now, all, fleet, budgets, false);
        Run run = best(p);
        if (run.all()) {
            return new Answer.Order(run.whole(p), run.ends, Length.least(p));
        }
        Problem healed = new Problem(now, all, fleet, budgets, true);
        Run could = best(healed);
        if (could.all()) {
            MinimalConflict.Found f = MinimalConflict.of(p, run.lost);
            return new Answer.Waits(f.reasons(), f.smallest());
        }
        MinimalConflict.Found f = MinimalConflict.of(healed, could.lost);
        return new Answer.Refused(f.reasons(), f.smallest(), f.proven());
    }

    private static Run best(Problem p) {
        Run best = null;
        for (List<Job> order : orders(p)) {
            Run run = new Run(p, order, r -> true);
            if (best == null || run.lost.size() < best.lost.size() || run.all() && best.all() && run.ends < best.ends) {
                best = run;
            }
            if (best.all() && p.jobs.size() > MANY) {
                break;
            }
        }
        if (!best.all() && p.jobs.size() <= Exact.MOST_JOBS
                && p.jobs.stream().anyMatch(j -> j.wish().by() != Wish.ANY_TIME)) {
            Run found = permuted(p, new ArrayList<>(), new ArrayList<>(p.jobs));
            best = found == null ? best : found;
        }
        return best;
    }

    private static Run permuted(Problem p, List<Job> order, List<Job> left) {
        if (left.isEmpty()) {
            Run run = new Run(p, order, r -> true);
            return run.all() ? run : null;
        }
        for (Job j : List.copyOf(left)) {
            order.add(j);
            left.remove(j);
            Run run = permuted(p, order, left);
            order.remove(order.size() - 1);
            left.add(j);
            if (run != null) {
                return run;
            }
        }
        return null;
    }

    /** By who must begin first; then by who stands in most others' way, or lasts longest. */
    private static List<List<Job>> orders(Problem p) {
        Map<String, Long> latest = latest(p);
        Map<String, Integer> twins = twins(p);
        Comparator<Job> first = Comparator.comparing(j -> latest.get(j.wish().machine()));
        Comparator<Job> name = Comparator.comparing(j -> j.wish().machine());
        Comparator<Job> longest = Comparator.comparing(j -> -j.whole());
        Comparator<Job> crowded = Comparator.comparing(j -> -twins.getOrDefault(j.wish().machine(), 0));
        return List.of(
                p.jobs.stream().sorted(first.thenComparing(crowded).thenComparing(longest).thenComparing(name))
                        .toList(),
                p.jobs.stream().sorted(first.thenComparing(longest).thenComparing(crowded).thenComparing(name))
                        .toList(),
                p.jobs.stream().sorted(longest.thenComparing(first).thenComparing(name)).toList());
    }

    /** When each must begin at the latest, for itself and for those pinned behind it. */
    private static Map<String, Long> latest(Problem p) {
        Map<String, Long> latest = new HashMap<>();
        Map<String, Job> jobs = new HashMap<>();
        p.jobs.forEach(j -> {
            jobs.put(j.wish().machine(), j);
            latest.put(j.wish().machine(), j.wish().by() == Wish.ANY_TIME ? Wish.ANY_TIME : j.wish().by() - j.whole());
        });
        boolean more = true;
        for (int i = 0; more && i <= p.jobs.size(); i++) { // a circle of pins is told elsewhere
            more = false;
            for (Job j : p.jobs) {
                long own = latest.get(j.wish().machine());
                for (String a : p.pins.before(j.wish().machine())) {
                    if (jobs.containsKey(a) && own != Wish.ANY_TIME && latest.get(a) > own - jobs.get(a).whole()) {
                        latest.put(a, own - jobs.get(a).whole());
                        more = true;
                    }
                }
            }
        }
        return latest;
    }

    /** How many other jobs a machine shares a block with that not all may leave at once. */
    private static Map<String, Integer> twins(Problem p) {
        Map<String, Set<String>> beside = new HashMap<>();
        p.fleet.blocks()
                .forEach(b -> b.on().forEach(m -> beside.computeIfAbsent(m, k -> new HashSet<>()).addAll(b.on())));
        Map<String, Integer> twins = new HashMap<>();
        beside.forEach((m, s) -> twins.put(m, s.size()));
        return twins;
    }
}

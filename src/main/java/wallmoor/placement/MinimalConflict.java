package wallmoor.placement;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Why there is no plan: the fewest rules that can't be kept together. Found by hitting sets: whatever rules can be
 * kept together, one of those left out is a reason; so the fewest that hit all such sets are tried, until they can't
 * be kept. Where that would take too long, rules are left out as long as a proof stands without them.
 */
final class MinimalConflict {
    /** Rules of a fleet whose fewest reasons are looked for: each look may be a search of its own. */
    private static final int MOST_RULES = 40;
    /**
     * What one search may keep, as a part of a plan's placements: there are many; all together may keep twice a
     * plan's.
     */
    private static final int PART = 5;
    /** Sets of rules that a proof of a large fleet is tried with; each takes some thirty milliseconds. */
    private static final int LOOKS = 200;
    private static final List<Predicate<Model>> PROOFS = List.of(Shortfall::proven,
            m -> Bound.of(m).mb() == Bound.NONE, Exact::stuck);

    private enum Verdict {
        FEASIBLE, INFEASIBLE, UNKNOWN
    }

    private final Fleet fleet;
    private final List<Reason> rules;
    private final int placements;
    private long left;

    private MinimalConflict(Fleet fleet, int placements) {
        this.fleet = fleet;
        this.placements = placements;
        left = 2L * placements;
        this.rules = Model.rules(fleet);
    }

    /** The reasons of a fleet that is known to have no plan; {@code placements} is what a plan's search may keep. */
    static Answer.Infeasible of(Fleet fleet, int placements) {
        var because = new MinimalConflict(fleet, placements);
        boolean few = because.rules.size() <= MOST_RULES;
        Answer.Infeasible fewest = few ? because.fewest() : null;
        because.left = 2L * placements;
        if (fewest != null) {
            return fewest;
        }
        Predicate<Model> quick = PROOFS.stream().filter(p -> p.test(new Model(fleet))).findFirst().orElse(m -> false);
        return new Answer.Infeasible(because.fewer(quick, few), false);
    }

    /** Whether a quick proof shows that a model's rules can't be kept. */
    static boolean proven(Model model) {
        return PROOFS.stream().anyMatch(p -> p.test(model));
    }

    /**
     * By hitting sets; null where the searches it takes are too many. Rules that may or may not go together count as
     * if they did.
     */
    private Answer.Infeasible fewest() {
        List<Set<Integer>> toHit = new ArrayList<>();
        boolean sure = true;
        while (left > 0) {
            Set<Integer> hit = hit(toHit);
            if (hit == null) {
                return null;
            }
            Verdict verdict = verdict(reasons(hit));
            if (verdict == Verdict.INFEASIBLE) {
                return new Answer.Infeasible(reasons(hit), sure);
            }
            sure &= verdict == Verdict.FEASIBLE;
            Set<Integer> kept = new HashSet<>(hit);
            Set<Integer> out = new HashSet<>();
            for (int r = 0; r < rules.size(); r++) {
                if (kept.add(r)) {
                    Verdict with = verdict(reasons(kept));
                    sure &= with != Verdict.UNKNOWN;
                    if (with == Verdict.INFEASIBLE) {
                        kept.remove(r);
                        out.add(r);
                    }
                }
            }
            toHit.add(out);
        }
        return null;
    }

    /** The fewest rules of which one is in each set; null where a set is empty. */
    private Set<Integer> hit(List<Set<Integer>> sets) {
        for (int size = 0; size <= rules.size(); size++) {
            Set<Integer> found = hit(sets, new HashSet<>(), size);
            if (found != null) {
                return found;
            }
        }
        return null;
    }

    private Set<Integer> hit(List<Set<Integer>> sets, Set<Integer> taken, int more) {
        left--; // wide sets take long to hit: that counts as the searches do
        Set<Integer> missed = sets.stream().filter(s -> s.stream().noneMatch(taken::contains)).findFirst().orElse(null);
        if (missed == null) {
            return taken;
        }
        if (more == 0 || left <= 0) {
            return null;
        }
        for (int r : missed) {
            Set<Integer> with = new HashSet<>(taken);
            with.add(r);
            Set<Integer> found = hit(sets, with, more - 1);
            if (found != null) {
                return found;
            }
        }
        return null;
    }

    private Verdict verdict(List<Reason> kept) {
        var model = new Model(fleet, kept);
        if (!proven(model)) {
            if (Planner.draft(model, Bound.of(model)) != null) {
                return Verdict.FEASIBLE;
            }
            int most = (int) Math.min(Math.min(placements / PART, left), Planner.budget(model, placements));
            Exact.Found found = new Exact(model, most).search(Long.MAX_VALUE);
            left -= found.states();
            return found.steps() != null ? Verdict.FEASIBLE : found.complete() ? Verdict.INFEASIBLE : Verdict.UNKNOWN;
        }
        return Verdict.INFEASIBLE;
    }

    private List<Reason> reasons(Set<Integer> which) {
        return which.stream().sorted().map(rules::get).toList();
    }

    /** Leaves rules out, many at a time and then few, as long as a proof stands: a quick one, or by a search. */
    private List<Reason> fewer(Predicate<Model> quick, boolean search) {
        int looks = LOOKS;
        List<Reason> kept = rules;
        for (int some = Integer.highestOneBit(Math.max(1, kept.size() / 2)); some >= 1; some /= 2) {
            for (int from = 0; from < kept.size() && looks-- > 0;) {
                List<Reason> without = new ArrayList<>(kept.subList(0, from));
                without.addAll(kept.subList(Math.min(kept.size(), from + some), kept.size()));
                if (quick.test(new Model(fleet, without)) || search && verdict(without) == Verdict.INFEASIBLE) {
                    kept = without;
                } else {
                    from += some;
                }
            }
        }
        return kept;
    }
}

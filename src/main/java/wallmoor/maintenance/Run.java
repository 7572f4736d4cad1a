package wallmoor.maintenance;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeSet;
import java.util.function.Predicate;
import wallmoor.maintenance.Answer.Slot;
import wallmoor.maintenance.Problem.Fixed;
import wallmoor.maintenance.Problem.Job;

/**
 * What comes of an order where each goes as soon as it may, by the rule ({@link Line}) that steps are decided by, and
 * all lasts as reckoned.
 */
final class Run {
    final List<Slot> slots = new ArrayList<>();
    /** Jobs that never go, or too late. */
    final List<Job> lost = new ArrayList<>();
    long ends;

    private record End(long at, int place, String machine) {}

    Run(Problem p, List<Job> order, Predicate<Reason> keeps) {
        OutageLedger book = new OutageLedger(p.fleet, p.budgets, keeps);
        Map<String, Long> doneAt = new HashMap<>();
        var running = new PriorityQueue<End>((a, b) -> Long.compare(a.at(), b.at()));
        for (Fixed f : p.fixed) {
            book.take(f.place(), f.warmth());
            if (f.until() != Problem.NEVER) {
                running.add(new End(f.until(), f.place(), f.machine()));
            }
        }
        ends = p.now;
        Budgets b = p.budgets;
        boolean hours = keeps.test(Reason.budget(Rule.HOURS, "hours"));
        List<Job> waiting = new ArrayList<>(order);
        Map<Job, List<String>> first = new HashMap<>();
        order.forEach(j -> first.put(j, p.before(j).stream()
                .filter(a -> keeps.test(Reason.of(Rule.PIN, a, j.wish().machine()))).toList()));
        long t = p.now;
        while (true) {
            while (!running.isEmpty() && running.peek().at() <= t) {
                End e = running.poll();
                book.give(e.place());
                doneAt.put(e.machine(), e.at());
            }
            var line = new Line(book);
            List<Job> left = new ArrayList<>();
            long opens = Problem.NEVER;
            for (Job j : waiting) {
                if (line.shut()) {
                    left.add(j);
                    continue;
                }
                long may = hours ? b.hours().next(t, j.whole()) : t;
                if (may > t) {
                    opens = Math.min(opens, may);
                }
                if (j.place() < 0 || may != t || !doneAt.keySet().containsAll(first.get(j))
                        || !line.goes(j.place(), p.fleet.machines().get(j.place()))) {
                    left.add(j);
                    continue;
                }
                long done = t + j.whole();
                slots.add(new Slot(j.wish(), t, t + b.parts(), t + b.parts() + j.wish().lasts(), done, book.outAll(),
                        book.capacityLeft(), List.of()));
                if (done > j.wish().by() && keeps.test(Reason.of(Rule.BY, j.wish().machine()))) {
                    lost.add(j);
                }
                ends = Math.max(ends, done);
                running.add(new End(done, j.place(), j.wish().machine()));
            }
            waiting = left;
            long then = Math.min(opens, running.isEmpty() ? Problem.NEVER : running.peek().at());
            if (waiting.isEmpty() || then == Problem.NEVER) {
                lost.addAll(waiting);
                return;
            }
            t = then;
        }
    }

    boolean all() {
        return lost.isEmpty();
    }

    /** The slots, with who must stay; that needs all blocks, also those that stand against nothing. */
    List<Slot> whole(Problem p) {
        OutageLedger book = new OutageLedger(p.whole, p.budgets, r -> true);
        p.fixed.forEach(f -> book.take(f.place()));
        var ends = new PriorityQueue<End>((a, b) -> Long.compare(a.at(), b.at()));
        p.fixed.stream().filter(f -> f.until() != Problem.NEVER)
                .forEach(f -> ends.add(new End(f.until(), f.place(), f.machine())));
        List<Slot> whole = new ArrayList<>();
        for (Slot s : slots) {
            while (!ends.isEmpty() && ends.peek().at() <= s.starts()) {
                book.give(ends.poll().place());
            }
            int place = book.place(s.wish().machine());
            book.take(place);
            ends.add(new End(s.done(), place, s.wish().machine()));
            whole.add(new Slot(s.wish(), s.starts(), s.free(), s.back(), s.done(), s.out(), s.capacity(),
                    List.copyOf(new TreeSet<>(book.lastBeside(place)))));
        }
        return whole;
    }
}

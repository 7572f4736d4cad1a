package wallmoor.maintenance;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeSet;
import java.util.function.Predicate;
import wallmoor.maintenance.SchedulingProblem.ExistingOutage;
import wallmoor.maintenance.SchedulingProblem.Job;
import wallmoor.maintenance.SchedulingResult.OutageSlot;

/**
 * What comes of an order where each goes as soon as it may, by the rule ({@link AdmissionQueue}) that steps are decided
 * by, and
 * all lasts as reckoned.
 */
final class ListSchedule {
    final List<OutageSlot> slots = new ArrayList<>();
    /** Jobs that never go, or too late. */
    final List<Job> lost = new ArrayList<>();
    long ends;

    private record End(long at, int place, String machine) {}

    ListSchedule(SchedulingProblem p, List<Job> order, Predicate<MaintenanceConstraint> keeps) {
        OutageLedger book = new OutageLedger(p.fleet, p.budgets, keeps);
        Map<String, Long> doneAt = new HashMap<>();
        var running = new PriorityQueue<End>((a, b) -> Long.compare(a.at(), b.at()));
        for (ExistingOutage f : p.outages) {
            book.takeOut(f.machineIndex(), f.capacityShare());
            if (f.until() != SchedulingProblem.NEVER) {
                running.add(new End(f.until(), f.machineIndex(), f.machine()));
            }
        }
        ends = p.now;
        Budgets b = p.budgets;
        boolean hours = keeps.test(MaintenanceConstraint.budget(MaintenanceRule.HOURS, "hours"));
        List<Job> waiting = new ArrayList<>(order);
        Map<Job, List<String>> first = new HashMap<>();
        order.forEach(j -> first.put(j, p.predecessors(j).stream()
                .filter(a -> keeps.test(MaintenanceConstraint.of(MaintenanceRule.PIN, a, j.request().machine())))
                .toList()));
        long t = p.now;
        while (true) {
            while (!running.isEmpty() && running.peek().at() <= t) {
                End e = running.poll();
                book.putBack(e.place());
                doneAt.put(e.machine(), e.at());
            }
            var line = new AdmissionQueue(book);
            List<Job> left = new ArrayList<>();
            long opens = SchedulingProblem.NEVER;
            for (Job j : waiting) {
                if (line.isBlocked()) {
                    left.add(j);
                    continue;
                }
                long may = hours ? b.windows().nextStart(t, j.outageMillis()) : t;
                if (may > t) {
                    opens = Math.min(opens, may);
                }
                if (j.machineIndex() < 0 || may != t || !doneAt.keySet().containsAll(first.get(j))
                        || !line.tryAdmit(j.machineIndex(), p.fleet.machines().get(j.machineIndex()))) {
                    left.add(j);
                    continue;
                }
                long done = t + j.outageMillis();
                slots.add(new OutageSlot(j.request(), t, t + b.partTimeoutMillis(),
                        t + b.partTimeoutMillis() + j.request().workMillis(), done, book.outCount(),
                        book.capacityLeft(), List.of()));
                if (done > j.request().deadline()
                        && keeps.test(MaintenanceConstraint.of(MaintenanceRule.BY, j.request().machine()))) {
                    lost.add(j);
                }
                ends = Math.max(ends, done);
                running.add(new End(done, j.machineIndex(), j.request().machine()));
            }
            waiting = left;
            long then = Math.min(opens, running.isEmpty() ? SchedulingProblem.NEVER : running.peek().at());
            if (waiting.isEmpty() || then == SchedulingProblem.NEVER) {
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
    List<OutageSlot> whole(SchedulingProblem p) {
        OutageLedger book = new OutageLedger(p.whole, p.budgets, r -> true);
        p.outages.forEach(f -> book.takeOut(f.machineIndex()));
        var ends = new PriorityQueue<End>((a, b) -> Long.compare(a.at(), b.at()));
        p.outages.stream().filter(f -> f.until() != SchedulingProblem.NEVER)
                .forEach(f -> ends.add(new End(f.until(), f.machineIndex(), f.machine())));
        List<OutageSlot> whole = new ArrayList<>();
        for (OutageSlot s : slots) {
            while (!ends.isEmpty() && ends.peek().at() <= s.starts()) {
                book.putBack(ends.poll().place());
            }
            int place = book.indexOf(s.request().machine());
            book.takeOut(place);
            ends.add(new End(s.done(), place, s.request().machine()));
            whole.add(new OutageSlot(s.request(), s.starts(), s.free(), s.back(), s.done(), s.out(), s.capacity(),
                    List.copyOf(new TreeSet<>(book.soleHolders(place)))));
        }
        return whole;
    }
}

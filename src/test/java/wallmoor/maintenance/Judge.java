package wallmoor.maintenance;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;
import wallmoor.maintenance.Machine.Phase;
import wallmoor.versions.Document;
import wallmoor.versions.Kinds;
import wallmoor.versions.Proposal;

/** Judges each version by the fleet that was seen; shares nothing with the decider but its records. */
final class Judge {
    private static final Map<Step, Set<Step>> MAY = Map.ofEntries(
            Map.entry(Step.ASKED, Set.of(Step.PLANNED, Step.HELD, Step.REFUSED, Step.DRAINING)),
            Map.entry(Step.PLANNED, Set.of(Step.HELD, Step.DRAINING)),
            Map.entry(Step.HELD, Set.of(Step.PLANNED, Step.DRAINING)),
            Map.entry(Step.DRAINING, Set.of(Step.OUT, Step.HELD, Step.GIVEN_UP)),
            Map.entry(Step.OUT, Set.of(Step.RETURNING, Step.WARM, Step.OVERDUE, Step.DRAINING, Step.HELD)),
            Map.entry(Step.RETURNING, Set.of(Step.WARM, Step.OVERDUE)),
            Map.entry(Step.OVERDUE, Set.of(Step.RETURNING, Step.WARM, Step.DRAINING, Step.HELD)),
            Map.entry(Step.WARM, Set.of(Step.DONE, Step.RETURNING)), Map.entry(Step.DONE, Set.of()),
            Map.entry(Step.REFUSED, Set.of()), Map.entry(Step.GIVEN_UP, Set.of()));
    private static final Set<Step> HAS = Set.of(Step.DRAINING, Step.OUT, Step.RETURNING, Step.WARM, Step.OVERDUE);

    private Judge() {}

    /** A version that follows another one. */
    static void version(State before, State after, Fleet f, Budgets b) {
        Set<String> ours = new TreeSet<>();
        Set<String> began = new TreeSet<>();
        Set<String> drains = new TreeSet<>();
        after.wishes().forEach((id, s) -> {
            Step was = before.wishes().get(id).step();
            String m = s.wish().machine();
            assertTrue(was == s.step() || MAY.get(was).contains(s.step()), id + " from " + was + " to " + s.step());
            assertFalse(
                    Set.of(Step.HELD, Step.REFUSED, Step.OVERDUE, Step.GIVEN_UP).contains(s.step())
                            && s.why().isEmpty(),
                    id + " has no reason");
            if (HAS.contains(was) || HAS.contains(s.step())) {
                assertTrue(ours.add(m), m + " has two wishes out");
            }
            if (s.step() == Step.DRAINING && !HAS.contains(was) || s.step() == Step.OUT && was != Step.OUT) {
                began.add(m);
            }
            if (s.step() == Step.DRAINING) {
                drains.add(m);
                s.wish().after().forEach(a -> assertTrue(after.wishes().values().stream().noneMatch(
                        o -> o.wish().machine().equals(a)
                                && !Set.of(Step.DONE, Step.GIVEN_UP, Step.REFUSED).contains(o.step())
                                && !HAS.contains(was)),
                        m + " began before " + a));
            }
        });
        Map<String, Machine> machines = new TreeMap<>();
        f.machines().forEach(m -> machines.put(m.id(), m));
        Predicate<String> serves = id -> machines.containsKey(id) && machines.get(id).phase() == Phase.SERVING
                && machines.get(id).servedFor() >= b.cold() && !ours.contains(id);
        for (Block block : f.blocks()) {
            for (String m : block.on()) {
                if (began.contains(m) || drains.contains(m)) {
                    assertTrue(block.on().stream().anyMatch(serves), block + " loses its last holder with " + m);
                }
            }
        }
        if (!began.isEmpty()) {
            assertTrue(f.quorum(), "began without a quorum");
            assertFalse(before.held(), "began though held");
            budgets(began, ours, machines, b);
        }
    }

    private static void budgets(Set<String> began, Set<String> ours, Map<String, Machine> machines, Budgets b) {
        int out = 0;
        int gatherers = 0;
        int voters = 0;
        int allVoters = 0;
        long capacity = 0;
        long all = 0;
        Map<String, Integer> in = new TreeMap<>();
        for (Machine m : machines.values()) {
            boolean there = m.phase() == Phase.SERVING && !ours.contains(m.id());
            boolean counts = there && (m.kind() == Machine.Kind.GATHERER || m.servedFor() >= b.cold());
            out += counts ? 0 : 1;
            in.merge(m.centre(), counts ? 0 : 1, Integer::sum);
            if (m.kind() == Machine.Kind.GATHERER) {
                gatherers += there ? 1 : 0;
                allVoters += m.voter() ? 1 : 0;
                voters += there && m.voter() ? 1 : 0;
            } else {
                all += 1_000_000 * m.capacity();
                capacity += !there ? 0 : m.capacity() * (m.servedFor() >= b.cold() ? 1_000_000
                        : b.coldShare() + (1_000_000 - b.coldShare()) * m.servedFor() / b.cold());
            }
        }
        assertTrue(out <= b.atOnce(), out + " out of " + b.atOnce() + " with " + began);
        for (String m : began) {
            String centre = machines.get(m).centre();
            assertTrue(in.get(centre) <= b.centres().getOrDefault(centre, 1_000), "too many out in " + centre);
            if (machines.get(m).kind() == Machine.Kind.NODE) {
                assertTrue(capacity >= all / 1_000_000 * b.capacityKept(), "capacity");
            } else {
                assertTrue(gatherers >= b.gatherersKept(), "gatherers");
                assertTrue(!machines.get(m).voter() || 2 * voters > allVoters, "voters");
            }
        }
    }

    /** As the document has it. */
    static State read(State state) {
        try {
            var doc = Document.of(new Proposal("maintenance", 0, "", "me", Texts.body(state), Texts.fallback(state)),
                    1);
            return Texts.read(Kinds.MAINTENANCE.check(doc));
        } catch (wallmoor.versions.UnreadableException e) {
            throw new AssertionError(e);
        }
    }
}

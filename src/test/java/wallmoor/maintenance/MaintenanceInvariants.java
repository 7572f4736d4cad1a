package wallmoor.maintenance;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;
import wallmoor.maintenance.Machine.MachinePhase;
import wallmoor.rules.DocumentSchemas;
import wallmoor.rules.RuleDocument;
import wallmoor.rules.RuleProposal;

/** Judges each version by the fleet that was seen; shares nothing with the decider but its records. */
final class MaintenanceInvariants {
    private static final Map<MaintenanceStage, Set<MaintenanceStage>> MAY = Map.ofEntries(
            Map.entry(MaintenanceStage.ASKED,
                    Set.of(MaintenanceStage.PLANNED, MaintenanceStage.HELD, MaintenanceStage.REFUSED,
                            MaintenanceStage.DRAINING)),
            Map.entry(MaintenanceStage.PLANNED, Set.of(MaintenanceStage.HELD, MaintenanceStage.DRAINING)),
            Map.entry(MaintenanceStage.HELD, Set.of(MaintenanceStage.PLANNED, MaintenanceStage.DRAINING)),
            Map.entry(MaintenanceStage.DRAINING,
                    Set.of(MaintenanceStage.OUT, MaintenanceStage.HELD, MaintenanceStage.GIVEN_UP)),
            Map.entry(MaintenanceStage.OUT,
                    Set.of(MaintenanceStage.RETURNING, MaintenanceStage.WARM, MaintenanceStage.OVERDUE,
                            MaintenanceStage.DRAINING, MaintenanceStage.HELD)),
            Map.entry(MaintenanceStage.RETURNING, Set.of(MaintenanceStage.WARM, MaintenanceStage.OVERDUE)),
            Map.entry(MaintenanceStage.OVERDUE,
                    Set.of(MaintenanceStage.RETURNING, MaintenanceStage.WARM, MaintenanceStage.DRAINING,
                            MaintenanceStage.HELD)),
            Map.entry(MaintenanceStage.WARM, Set.of(MaintenanceStage.DONE, MaintenanceStage.RETURNING)),
            Map.entry(MaintenanceStage.DONE, Set.of()),
            Map.entry(MaintenanceStage.REFUSED, Set.of()), Map.entry(MaintenanceStage.GIVEN_UP, Set.of()));
    private static final Set<MaintenanceStage> HAS = Set.of(MaintenanceStage.DRAINING, MaintenanceStage.OUT,
            MaintenanceStage.RETURNING, MaintenanceStage.WARM, MaintenanceStage.OVERDUE);

    private MaintenanceInvariants() {}

    /** A version that follows another one. */
    static void version(MaintenanceState before, MaintenanceState after, FleetSnapshot f, Budgets b) {
        Set<String> ours = new TreeSet<>();
        Set<String> began = new TreeSet<>();
        Set<String> drains = new TreeSet<>();
        after.requests().forEach((id, s) -> {
            MaintenanceStage was = before.requests().get(id).stage();
            String m = s.request().machine();
            assertTrue(was == s.stage() || MAY.get(was).contains(s.stage()), id + " from " + was + " to " + s.stage());
            assertFalse(
                    Set.of(MaintenanceStage.HELD, MaintenanceStage.REFUSED, MaintenanceStage.OVERDUE,
                            MaintenanceStage.GIVEN_UP).contains(s.stage())
                            && s.reasons().isEmpty(),
                    id + " has no reason");
            if (HAS.contains(was) || HAS.contains(s.stage())) {
                assertTrue(ours.add(m), m + " has two wishes out");
            }
            if (s.stage() == MaintenanceStage.DRAINING && !HAS.contains(was)
                    || s.stage() == MaintenanceStage.OUT && was != MaintenanceStage.OUT) {
                began.add(m);
            }
            if (s.stage() == MaintenanceStage.DRAINING) {
                drains.add(m);
                s.request().after().forEach(a -> assertTrue(after.requests().values().stream().noneMatch(
                        o -> o.request().machine().equals(a)
                                && !Set.of(MaintenanceStage.DONE, MaintenanceStage.GIVEN_UP, MaintenanceStage.REFUSED)
                                        .contains(o.stage())
                                && !HAS.contains(was)),
                        m + " began before " + a));
            }
        });
        Map<String, Machine> machines = new TreeMap<>();
        f.machines().forEach(m -> machines.put(m.id(), m));
        Predicate<String> serves = id -> machines.containsKey(id) && machines.get(id).phase() == MachinePhase.SERVING
                && machines.get(id).servingMillis() >= b.slowStartMillis() && !ours.contains(id);
        for (BlockHolders block : f.blocks()) {
            for (String m : block.holders()) {
                if (began.contains(m) || drains.contains(m)) {
                    assertTrue(block.holders().stream().anyMatch(serves), block + " loses its last holder with " + m);
                }
            }
        }
        if (!began.isEmpty()) {
            assertTrue(f.hasQuorum(), "began without a quorum");
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
            boolean there = m.phase() == MachinePhase.SERVING && !ours.contains(m.id());
            boolean counts = there
                    && (m.role() == Machine.MachineRole.GATHERER || m.servingMillis() >= b.slowStartMillis());
            out += counts ? 0 : 1;
            in.merge(m.centre(), counts ? 0 : 1, Integer::sum);
            if (m.role() == Machine.MachineRole.GATHERER) {
                gatherers += there ? 1 : 0;
                allVoters += m.voter() ? 1 : 0;
                voters += there && m.voter() ? 1 : 0;
            } else {
                all += 1_000_000 * m.capacity();
                capacity += !there ? 0 : m.capacity() * (m.servingMillis() >= b.slowStartMillis() ? 1_000_000
                        : b.slowStartShare()
                                + (1_000_000 - b.slowStartShare()) * m.servingMillis() / b.slowStartMillis());
            }
        }
        assertTrue(out <= b.maxOut(), out + " out of " + b.maxOut() + " with " + began);
        for (String m : began) {
            String centre = machines.get(m).centre();
            assertTrue(in.get(centre) <= b.maxOutByCentre().getOrDefault(centre, 1_000), "too many out in " + centre);
            if (machines.get(m).role() == Machine.MachineRole.NODE) {
                assertTrue(capacity >= all / 1_000_000 * b.minCapacity(), "capacity");
            } else {
                assertTrue(gatherers >= b.minGatherers(), "gatherers");
                assertTrue(!machines.get(m).voter() || 2 * voters > allVoters, "voters");
            }
        }
    }

    /** As the document has it. */
    static MaintenanceState read(MaintenanceState state) {
        try {
            var doc = RuleDocument.of(
                    new RuleProposal("maintenance", 0, "", "me", MaintenanceCodec.body(state),
                            MaintenanceCodec.fallback(state)),
                    1);
            return MaintenanceCodec.decode(DocumentSchemas.MAINTENANCE.validate(doc));
        } catch (wallmoor.rules.InvalidRuleException e) {
            throw new AssertionError(e);
        }
    }
}

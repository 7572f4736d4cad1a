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

    private static final Set<MaintenanceStage> NEEDS_REASON = Set.of(MaintenanceStage.HELD, MaintenanceStage.REFUSED,
            MaintenanceStage.OVERDUE, MaintenanceStage.GIVEN_UP);
    private static final Set<MaintenanceStage> ENDED = Set.of(MaintenanceStage.DONE, MaintenanceStage.GIVEN_UP,
            MaintenanceStage.REFUSED);

    private MaintenanceInvariants() {}

    /** A version that follows another one. */
    static void version(MaintenanceState before, MaintenanceState after, FleetSnapshot fleet, Budgets budgets) {
        Set<String> ours = new TreeSet<>();
        Set<String> began = new TreeSet<>();
        Set<String> drains = new TreeSet<>();
        after.requests().forEach((id, status) -> {
            MaintenanceStage was = before.requests().get(id).stage();
            String machine = status.request().machine();
            transition(id, was, status);
            if (HAS.contains(was) || HAS.contains(status.stage())) {
                assertTrue(ours.add(machine), machine + " has two wishes out");
            }
            if ((status.stage() == MaintenanceStage.DRAINING && !HAS.contains(was))
                    || (status.stage() == MaintenanceStage.OUT && was != MaintenanceStage.OUT)) {
                began.add(machine);
            }
            if (status.stage() == MaintenanceStage.DRAINING) {
                drains.add(machine);
                precedence(after, status, was);
            }
        });
        Map<String, Machine> machines = new TreeMap<>();
        fleet.machines().forEach(m -> machines.put(m.id(), m));
        cover(fleet, began, drains, id -> machines.containsKey(id)
                && machines.get(id).phase() == MachinePhase.SERVING
                && machines.get(id).servingMillis() >= budgets.slowStartMillis() && !ours.contains(id));
        if (!began.isEmpty()) {
            assertTrue(fleet.hasQuorum(), "began without a quorum");
            assertFalse(before.held(), "began though held");
            budgets(began, ours, machines, budgets);
        }
    }

    private static void transition(String id, MaintenanceStage was, RequestStatus status) {
        assertTrue(was == status.stage() || MAY.get(was).contains(status.stage()),
                id + " from " + was + " to " + status.stage());
        assertFalse(NEEDS_REASON.contains(status.stage()) && status.reasons().isEmpty(), id + " has no reason");
    }

    private static void precedence(MaintenanceState after, RequestStatus draining, MaintenanceStage was) {
        draining.request().after().forEach(first -> assertTrue(
                after.requests().values().stream().noneMatch(other -> other.request().machine().equals(first)
                        && !ENDED.contains(other.stage()) && !HAS.contains(was)),
                draining.request().machine() + " began before " + first));
    }

    private static void cover(FleetSnapshot fleet, Set<String> began, Set<String> drains, Predicate<String> serves) {
        for (BlockHolders block : fleet.blocks()) {
            for (String m : block.holders()) {
                if (began.contains(m) || drains.contains(m)) {
                    assertTrue(block.holders().stream().anyMatch(serves), block + " loses its last holder with " + m);
                }
            }
        }
    }

    private static void budgets(Set<String> began, Set<String> ours, Map<String, Machine> machines, Budgets b) {
        int out = 0;
        Map<String, Integer> outIn = new TreeMap<>();
        for (Machine m : machines.values()) {
            boolean counts = serves(m, ours) && (isGatherer(m) || m.servingMillis() >= b.slowStartMillis());
            out += counts ? 0 : 1;
            outIn.merge(m.centre(), counts ? 0 : 1, Integer::sum);
        }
        assertTrue(out <= b.maxOut(), out + " out of " + b.maxOut() + " with " + began);
        for (String id : began) {
            Machine m = machines.get(id);
            assertTrue(outIn.get(m.centre()) <= b.maxOutByCentre().getOrDefault(m.centre(), 1_000),
                    "too many out in " + m.centre());
            if (isGatherer(m)) {
                gatherers(m, ours, machines, b);
            } else {
                capacity(ours, machines, b);
            }
        }
    }

    private static boolean serves(Machine m, Set<String> ours) {
        return m.phase() == MachinePhase.SERVING && !ours.contains(m.id());
    }

    private static boolean isGatherer(Machine m) {
        return m.role() == Machine.MachineRole.GATHERER;
    }

    private static void gatherers(Machine began, Set<String> ours, Map<String, Machine> machines, Budgets b) {
        int serving = 0;
        int voters = 0;
        int servingVoters = 0;
        for (Machine m : machines.values()) {
            if (isGatherer(m)) {
                serving += serves(m, ours) ? 1 : 0;
                voters += m.voter() ? 1 : 0;
                servingVoters += serves(m, ours) && m.voter() ? 1 : 0;
            }
        }
        assertTrue(serving >= b.minGatherers(), "gatherers");
        assertTrue(!began.voter() || 2 * servingVoters > voters, "voters");
    }

    private static void capacity(Set<String> ours, Map<String, Machine> machines, Budgets b) {
        long all = 0;
        long serving = 0;
        for (Machine m : machines.values()) {
            if (!isGatherer(m)) {
                all += 1_000_000 * m.capacity();
                serving += serves(m, ours) ? m.capacity() * share(m, b) : 0;
            }
        }
        assertTrue(serving >= all / 1_000_000 * b.minCapacity(), "capacity");
    }

    /** Of its capacity, in millionths. */
    private static long share(Machine m, Budgets b) {
        return m.servingMillis() >= b.slowStartMillis() ? 1_000_000
                : b.slowStartShare() + (1_000_000 - b.slowStartShare()) * m.servingMillis() / b.slowStartMillis();
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

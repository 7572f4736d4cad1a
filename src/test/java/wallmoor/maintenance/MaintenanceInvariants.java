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

/** Checks each version against the observed fleet. Shares no code with the state machine except the data records. */
final class MaintenanceInvariants {
    private static final Map<MaintenanceStage, Set<MaintenanceStage>> ALLOWED_TRANSITIONS = Map.ofEntries(
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
    private static final Set<MaintenanceStage> OUT_STAGES = Set.of(MaintenanceStage.DRAINING, MaintenanceStage.OUT,
            MaintenanceStage.RETURNING, MaintenanceStage.WARM, MaintenanceStage.OVERDUE);

    private static final Set<MaintenanceStage> STAGES_WITH_REASON = Set.of(MaintenanceStage.HELD,
            MaintenanceStage.REFUSED, MaintenanceStage.OVERDUE, MaintenanceStage.GIVEN_UP);
    private static final Set<MaintenanceStage> FINAL_STAGES = Set.of(MaintenanceStage.DONE, MaintenanceStage.GIVEN_UP,
            MaintenanceStage.REFUSED);

    private MaintenanceInvariants() {}

    /** Checks a version against its predecessor. */
    static void checkVersion(MaintenanceState before, MaintenanceState after, FleetSnapshot fleet, Budgets budgets) {
        Set<String> outByOrder = new TreeSet<>();
        Set<String> began = new TreeSet<>();
        Set<String> draining = new TreeSet<>();
        after.requests().forEach((id, status) -> {
            MaintenanceStage previous = before.requests().get(id).stage();
            String machine = status.request().machine();
            checkTransition(id, previous, status);
            if (OUT_STAGES.contains(previous) || OUT_STAGES.contains(status.stage())) {
                assertTrue(outByOrder.add(machine), machine + " is out for two requests");
            }
            if ((status.stage() == MaintenanceStage.DRAINING && !OUT_STAGES.contains(previous))
                    || (status.stage() == MaintenanceStage.OUT && previous != MaintenanceStage.OUT)) {
                began.add(machine);
            }
            if (status.stage() == MaintenanceStage.DRAINING) {
                draining.add(machine);
                checkPrecedence(after, status, previous);
            }
        });
        Map<String, Machine> machines = new TreeMap<>();
        fleet.machines().forEach(m -> machines.put(m.id(), m));
        checkCover(fleet, began, draining, id -> machines.containsKey(id)
                && machines.get(id).phase() == MachinePhase.SERVING
                && machines.get(id).servingMillis() >= budgets.slowStartMillis() && !outByOrder.contains(id));
        if (!began.isEmpty()) {
            assertTrue(fleet.hasQuorum(), "a request began without a quorum");
            assertFalse(before.held(), "a request began although the order is held");
            checkBudgets(began, outByOrder, machines, budgets);
        }
    }

    private static void checkTransition(String id, MaintenanceStage previous, RequestStatus status) {
        assertTrue(previous == status.stage() || ALLOWED_TRANSITIONS.get(previous).contains(status.stage()),
                id + " from " + previous + " to " + status.stage());
        assertFalse(STAGES_WITH_REASON.contains(status.stage()) && status.reasons().isEmpty(), id + " lacks a reason");
    }

    private static void checkPrecedence(MaintenanceState after, RequestStatus draining, MaintenanceStage previous) {
        draining.request().after().forEach(first -> assertTrue(
                after.requests().values().stream().noneMatch(other -> other.request().machine().equals(first)
                        && !FINAL_STAGES.contains(other.stage()) && !OUT_STAGES.contains(previous)),
                draining.request().machine() + " began before its predecessor " + first));
    }

    private static void checkCover(FleetSnapshot fleet, Set<String> began, Set<String> draining,
            Predicate<String> serves) {
        for (BlockHolders block : fleet.blocks()) {
            for (String m : block.holders()) {
                if (began.contains(m) || draining.contains(m)) {
                    assertTrue(block.holders().stream().anyMatch(serves), block + " loses its last holder with " + m);
                }
            }
        }
    }

    private static void checkBudgets(Set<String> began, Set<String> outByOrder, Map<String, Machine> machines,
            Budgets budgets) {
        int out = 0;
        Map<String, Integer> outByCentre = new TreeMap<>();
        for (Machine m : machines.values()) {
            boolean inService = serves(m, outByOrder)
                    && (isGatherer(m) || m.servingMillis() >= budgets.slowStartMillis());
            out += inService ? 0 : 1;
            outByCentre.merge(m.centre(), inService ? 0 : 1, Integer::sum);
        }
        assertTrue(out <= budgets.maxOut(), out + " machines out, at most " + budgets.maxOut() + " allowed; began: "
                + began);
        for (String id : began) {
            Machine m = machines.get(id);
            assertTrue(outByCentre.get(m.centre()) <= budgets.maxOutByCentre().getOrDefault(m.centre(), 1_000),
                    "too many machines out in centre " + m.centre());
            if (isGatherer(m)) {
                checkGatherers(m, outByOrder, machines, budgets);
            } else {
                checkCapacity(outByOrder, machines, budgets);
            }
        }
    }

    private static boolean serves(Machine m, Set<String> outByOrder) {
        return m.phase() == MachinePhase.SERVING && !outByOrder.contains(m.id());
    }

    private static boolean isGatherer(Machine m) {
        return m.role() == Machine.MachineRole.GATHERER;
    }

    private static void checkGatherers(Machine began, Set<String> outByOrder, Map<String, Machine> machines,
            Budgets budgets) {
        int serving = 0;
        int voters = 0;
        int servingVoters = 0;
        for (Machine m : machines.values()) {
            if (isGatherer(m)) {
                serving += serves(m, outByOrder) ? 1 : 0;
                voters += m.voter() ? 1 : 0;
                servingVoters += serves(m, outByOrder) && m.voter() ? 1 : 0;
            }
        }
        assertTrue(serving >= budgets.minGatherers(), "too few gatherers serve");
        assertTrue(!began.voter() || 2 * servingVoters > voters, "no majority of voters serves");
    }

    private static void checkCapacity(Set<String> outByOrder, Map<String, Machine> machines, Budgets budgets) {
        long totalCapacity = 0;
        long serving = 0;
        for (Machine m : machines.values()) {
            if (!isGatherer(m)) {
                totalCapacity += 1_000_000 * m.capacity();
                serving += serves(m, outByOrder) ? m.capacity() * share(m, budgets) : 0;
            }
        }
        assertTrue(serving >= totalCapacity / 1_000_000 * budgets.minCapacity(), "too little capacity serves");
    }

    /** Returns the share of its capacity that a node has, in millionths. */
    private static long share(Machine m, Budgets budgets) {
        return m.servingMillis() >= budgets.slowStartMillis() ? 1_000_000
                : budgets.slowStartShare()
                        + (1_000_000 - budgets.slowStartShare()) * m.servingMillis() / budgets.slowStartMillis();
    }

    /** Returns the state after encoding, validation and decoding. */
    static MaintenanceState roundTrip(MaintenanceState state) {
        try {
            var document = RuleDocument.of(
                    new RuleProposal("maintenance", 0, "", "me", MaintenanceCodec.body(state),
                            MaintenanceCodec.fallback(state)),
                    1);
            return MaintenanceCodec.decode(DocumentSchemas.MAINTENANCE.validate(document));
        } catch (wallmoor.rules.InvalidRuleException e) {
            throw new AssertionError(e);
        }
    }
}

package wallmoor.maintenance;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeSet;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

/** Runs simulated fleets with random faults, and a small fleet with every order of a few events. */
class MaintenanceSimulationTest {
    private static final List<String> CENTRES = List.of("k", "l", "m");

    @Property(tries = 60)
    void keepsAllRulesUnderRandomFaultsAndSettles(@ForAll @LongRange(max = 1_000_000_000) long seed) {
        var random = new Random(seed);
        var machines = new ArrayList<Machine>();
        int nodes = 3 + random.nextInt(5);
        for (int i = 0; i < nodes; i++) {
            machines.add(FleetFixtures.node(CENTRES.get(i % 3) + i));
        }
        for (int i = 0; i < 3; i++) {
            machines.add(FleetFixtures.gatherer(CENTRES.get(i) + "g"));
        }
        var blocks = new ArrayList<BlockHolders>();
        for (int i = 0; i < nodes; i++) {
            var holders = new TreeSet<String>();
            for (int c = 0; c < 2 + random.nextInt(2); c++) {
                holders.add(machines.get(random.nextInt(nodes)).id());
            }
            blocks.add(new BlockHolders("b" + i, List.copyOf(holders)));
        }
        Budgets normalBudgets = FleetFixtures.withMinimums(
                FleetFixtures.withCentreLimits(FleetFixtures.budgets(1 + random.nextInt(3)),
                        random.nextBoolean() ? Map.of() : Map.of("k", 1)),
                random.nextInt(2) * 500_000, 1);
        var simulation = new MaintenanceSimulation(seed, machines, blocks, normalBudgets);
        simulation.successProbability = 0.4 + random.nextDouble() * 0.6;
        for (int i = 0; i < 100; i++) {
            injectFault(simulation, random, machines, normalBudgets);
            simulation.tick(1 + random.nextInt(6_000));
        }
        simulation.heal(normalBudgets);
        simulation.settle(5_000);
    }

    /** Guards against a drained gatherer that leads again, and is therefore never free for the work of staff. */
    @Example
    void settlesWhereDrainedGathererRegainsLeadership() {
        keepsAllRulesUnderRandomFaultsAndSettles(38955);
    }

    /** Guards against two draining holders of a block, whose third one crashes: none may then be kept out. */
    @Example
    void holdsDrainsWhenNoHolderOfABlockServes() {
        keepsAllRulesUnderRandomFaultsAndSettles(567451141);
    }

    /** Guards against a machine that somebody put into service, and which was decided on twice in one version. */
    @Example
    void holdsRequestOfMachinePutIntoServiceBySomebody() {
        keepsAllRulesUnderRandomFaultsAndSettles(270190769);
    }

    /** Guards against a cycle of precedences that is admitted while no plan exists for the requests admitted before. */
    @Example
    void refusesCycleOfPrecedencesAlsoWithoutAPlan() {
        keepsAllRulesUnderRandomFaultsAndSettles(95780710);
    }

    private static void injectFault(MaintenanceSimulation simulation, Random random, List<Machine> machines,
            Budgets normalBudgets) {
        String machineId = machines.get(random.nextInt(machines.size())).id();
        String gathererId = CENTRES.get(random.nextInt(3)) + "g";
        switch (random.nextInt(26)) {
            case 0 -> simulation.crash(machineId);
            case 1, 2, 3 -> simulation.machinesById.keySet().forEach(id -> {
                if (random.nextBoolean()) {
                    simulation.start(id);
                }
            });
            case 4, 21 -> simulation.setPartitioned(gathererId, true);
            case 5 -> simulation.gatherersById.keySet().forEach(g -> simulation.setPartitioned(g, false));
            case 6 -> simulation.hasQuorum = false;
            case 7, 8 -> simulation.hasQuorum = true;
            case 9 ->
                simulation.budgets = FleetFixtures.withMinimums(FleetFixtures.budgets(random.nextInt(3)),
                        random.nextInt(1_000_000), random.nextInt(3));
            case 10, 11 -> simulation.budgets = normalBudgets;
            case 12 -> simulation.skew = random.nextInt(600_000) - 300_000L;
            case 13 -> simulation.staffReturnMachines = random.nextBoolean();
            case 14 -> simulation.active = RequestOperations.hold(simulation.active, true);
            case 15, 16 -> simulation.active = RequestOperations.hold(simulation.active, false);
            case 17 -> simulation.leader = gathererId;
            case 18 ->
                machines.stream().filter(m -> m.centre().equals(gathererId.substring(0, 1)))
                        .forEach(m -> simulation.crash(m.id()));
            case 19 -> applyStaffOperation(simulation, random, true);
            // set to serving by someone else
            case 20 -> simulation.setListed(simulation.machinesById.get(machineId), true);
            default -> applyStaffOperation(simulation, random, false);
        }
        if (random.nextInt(4) == 0) {
            var after = new TreeSet<String>();
            var before = new TreeSet<String>();
            if (random.nextInt(4) == 0) {
                (random.nextBoolean() ? after : before).add(machines.get(random.nextInt(machines.size())).id());
            }
            try {
                simulation.active = RequestOperations.submit(simulation.active,
                        new MaintenanceRequest("w" + random.nextInt(100), machineId, 1_000 + random.nextInt(20_000),
                                random.nextInt(5) == 0 ? simulation.now + random.nextInt(300_000)
                                        : MaintenanceRequest.NO_DEADLINE,
                                "", "", after,
                                before),
                        simulation.now);
            } catch (RequestRejectedException e) {
                // the machine already has a request
            }
        }
    }

    private static void applyStaffOperation(MaintenanceSimulation simulation, Random random, boolean isWithdrawal) {
        var ids = List.copyOf(simulation.active.requests().keySet());
        if (!ids.isEmpty()) {
            String id = ids.get(random.nextInt(ids.size()));
            try {
                simulation.active = isWithdrawal ? RequestOperations.withdraw(simulation.active, id, simulation.now)
                        : RequestOperations.hold(simulation.active, id, random.nextInt(4) == 0);
            } catch (RequestRejectedException e) {
                // its machine is out of service
            }
        }
    }

    /**
     * Runs all sequences of three out of eleven events: three nodes, two blocks, requests for both holders of one
     * block.
     */
    @Example
    void settlesAfterEverySequenceOfThreeEvents() {
        runEverySequence(3);
    }

    /** Runs every sequence of {@code length} events. A length of four takes some minutes. */
    static void runEverySequence(int length) {
        int eventKinds = 11;
        for (int choice = 0; choice < Math.pow(eventKinds, length); choice++) {
            var simulation = new MaintenanceSimulation(choice,
                    List.of(FleetFixtures.node("a"), FleetFixtures.node("b"), FleetFixtures.node("c"),
                            FleetFixtures.gatherer("g")),
                    List.of(FleetFixtures.block("x", "a", "b"), FleetFixtures.block("y", "b", "c")),
                    FleetFixtures.budgets(2));
            simulation.active = FleetFixtures.submit(simulation.active, simulation.now, FleetFixtures.request("a"),
                    FleetFixtures.request("b"));
            for (int remainingChoice = choice, i = 0; i < length; i++, remainingChoice /= eventKinds) {
                applyEvent(simulation, remainingChoice % eventKinds);
                simulation.tick(4_000);
            }
            simulation.heal(FleetFixtures.budgets(2));
            simulation.settle(20_000);
        }
    }

    private static void applyEvent(MaintenanceSimulation simulation, int eventIndex) {
        switch (eventIndex) {
            case 0, 1, 2 -> simulation.crash(List.of("a", "b", "c").get(eventIndex));
            case 3 -> List.of("a", "b", "c").forEach(simulation::start);
            case 4 -> simulation.setPartitioned("g", !simulation.gatherersById.get("g").isPartitioned);
            case 5 -> simulation.hasQuorum = !simulation.hasQuorum;
            case 6 -> simulation.budgets = FleetFixtures.budgets(simulation.budgets.maxOut() == 2 ? 1 : 2);
            case 7 -> {
                try {
                    simulation.active = RequestOperations.withdraw(simulation.active, "w-a", simulation.now);
                } catch (RequestRejectedException e) {
                    // its machine is out of service
                }
            }
            case 8 -> simulation.active = RequestOperations.hold(simulation.active, !simulation.active.held());
            case 9 -> simulation.staffReturnMachines = !simulation.staffReturnMachines;
            default -> simulation.tick(20_000);
        }
    }
}

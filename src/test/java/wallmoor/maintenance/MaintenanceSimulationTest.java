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

/** Fleets with faults by seed, and a small one with every order of a few events. */
class MaintenanceSimulationTest {
    private static final List<String> CENTRES = List.of("k", "l", "m");

    @Property(tries = 60)
    void noFaultBreaksARuleAndAllEnds(@ForAll @LongRange(max = 1_000_000_000) long seed) {
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
            var on = new TreeSet<String>();
            for (int c = 0; c < 2 + random.nextInt(2); c++) {
                on.add(machines.get(random.nextInt(nodes)).id());
            }
            blocks.add(new BlockHolders("b" + i, List.copyOf(on)));
        }
        Budgets sane = FleetFixtures.kept(FleetFixtures.centres(FleetFixtures.budgets(1 + random.nextInt(3)),
                random.nextBoolean() ? Map.of() : Map.of("k", 1)), random.nextInt(2) * 500_000, 1);
        var world = new MaintenanceSimulation(seed, machines, blocks, sane);
        world.smooth = 0.4 + random.nextDouble() * 0.6;
        for (int i = 0; i < 100; i++) {
            fault(world, random, machines, sane);
            world.tick(1 + random.nextInt(6_000));
        }
        world.heal(sane);
        world.settle(5_000);
    }

    private static void fault(MaintenanceSimulation w, Random random, List<Machine> machines, Budgets sane) {
        String any = machines.get(random.nextInt(machines.size())).id();
        String gate = CENTRES.get(random.nextInt(3)) + "g";
        switch (random.nextInt(26)) {
            case 0 -> w.crash(any);
            case 1, 2, 3 -> w.boxes.keySet().forEach(id -> {
                if (random.nextBoolean()) {
                    w.start(id);
                }
            });
            case 4, 21 -> w.cut(gate, true);
            case 5 -> w.gates.keySet().forEach(g -> w.cut(g, false));
            case 6 -> w.quorum = false;
            case 7, 8 -> w.quorum = true;
            case 9 ->
                w.budgets = FleetFixtures.kept(FleetFixtures.budgets(random.nextInt(3)), random.nextInt(1_000_000),
                        random.nextInt(3));
            case 10, 11 -> w.budgets = sane;
            case 12 -> w.skew = random.nextInt(600_000) - 300_000L;
            case 13 -> w.returns = random.nextBoolean();
            case 14 -> w.acting = RequestOperations.hold(w.acting, true);
            case 15, 16 -> w.acting = RequestOperations.hold(w.acting, false);
            case 17 -> w.leader = gate;
            case 18 ->
                machines.stream().filter(m -> m.centre().equals(gate.substring(0, 1))).forEach(m -> w.crash(m.id()));
            case 19 -> staff(w, random, true);
            case 20 -> w.list(w.boxes.get(any), true); // by another hand
            default -> staff(w, random, false);
        }
        if (random.nextInt(4) == 0) {
            var after = new TreeSet<String>();
            var before = new TreeSet<String>();
            if (random.nextInt(4) == 0) {
                (random.nextBoolean() ? after : before).add(machines.get(random.nextInt(machines.size())).id());
            }
            try {
                w.acting = RequestOperations.submit(w.acting,
                        new MaintenanceRequest("w" + random.nextInt(100), any, 1_000 + random.nextInt(20_000),
                                random.nextInt(5) == 0 ? w.now + random.nextInt(300_000)
                                        : MaintenanceRequest.NO_DEADLINE,
                                "", "", after,
                                before),
                        w.now);
            } catch (RequestRejectedException e) {
                // it has one already
            }
        }
    }

    private static void staff(MaintenanceSimulation w, Random random, boolean withdraws) {
        var ids = List.copyOf(w.acting.requests().keySet());
        if (!ids.isEmpty()) {
            String id = ids.get(random.nextInt(ids.size()));
            try {
                w.acting = withdraws ? RequestOperations.withdraw(w.acting, id, w.now)
                        : RequestOperations.hold(w.acting, id, random.nextInt(4) == 0);
            } catch (RequestRejectedException e) {
                // it is out
            }
        }
    }

    /** Three nodes, two blocks, two wishes for the holders of one: all orders of three of eleven events. */
    @Example
    void everyOrderOfFewEvents() {
        everyOrder(3);
    }

    /** With four it takes some minutes of a shared machine. */
    static void everyOrder(int length) {
        int events = 11;
        for (int choice = 0; choice < Math.pow(events, length); choice++) {
            var w = new MaintenanceSimulation(choice,
                    List.of(FleetFixtures.node("a"), FleetFixtures.node("b"), FleetFixtures.node("c"),
                            FleetFixtures.gatherer("g")),
                    List.of(FleetFixtures.block("x", "a", "b"), FleetFixtures.block("y", "b", "c")),
                    FleetFixtures.budgets(2));
            w.acting = FleetFixtures.ask(w.acting, w.now, FleetFixtures.wish("a"), FleetFixtures.wish("b"));
            for (int left = choice, i = 0; i < length; i++, left /= events) {
                event(w, left % events);
                w.tick(4_000);
            }
            w.heal(FleetFixtures.budgets(2));
            w.settle(20_000);
        }
    }

    private static void event(MaintenanceSimulation w, int which) {
        switch (which) {
            case 0, 1, 2 -> w.crash(List.of("a", "b", "c").get(which));
            case 3 -> List.of("a", "b", "c").forEach(w::start);
            case 4 -> w.cut("g", !w.gates.get("g").cut);
            case 5 -> w.quorum = !w.quorum;
            case 6 -> w.budgets = FleetFixtures.budgets(w.budgets.maxOut() == 2 ? 1 : 2);
            case 7 -> {
                try {
                    w.acting = RequestOperations.withdraw(w.acting, "w-a", w.now);
                } catch (RequestRejectedException e) {
                    // it is out
                }
            }
            case 8 -> w.acting = RequestOperations.hold(w.acting, !w.acting.held());
            case 9 -> w.returns = !w.returns;
            default -> w.tick(20_000);
        }
    }
}

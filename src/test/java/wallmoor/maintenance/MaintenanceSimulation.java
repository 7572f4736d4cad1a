package wallmoor.maintenance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import wallmoor.maintenance.Machine.MachinePhase;
import wallmoor.maintenance.Machine.MachineRole;

/**
 * A fleet that the decider's versions are carried out on, with what is true apart from what is seen. After each version
 * the judge looks; when staff take a machine down no part may be out on it; when one is done it must be warm in truth.
 */
final class MaintenanceSimulation {
    /**
     * A gatherer that can't be asked goes on sending for so long, and a part lasts up to so long: together the parts'
     * time.
     */
    static final long LEASE = 2_000;
    static final long PART = 3_000;

    static final class Box {
        final Machine as;
        boolean up = true;
        boolean listed = true;
        int life = 1;
        long served = FleetFixtures.COLD;
        long phaseSince;
        /** Staff work on it until then; 0 for not. */
        long backAt;

        Box(Machine as) {
            this.as = as;
        }
    }

    static final class Gate {
        boolean cut;
        long silentSince;
        Set<String> heeds = new TreeSet<>();
        final List<Map.Entry<String, Long>> parts = new ArrayList<>();
        GathererReport last;
    }

    final Random random;
    final Map<String, Box> boxes = new TreeMap<>();
    final Map<String, Gate> gates = new TreeMap<>();
    final List<BlockHolders> blocks;
    Budgets budgets;
    long now = 1_000_000_000_000L;
    long skew;
    MaintenanceState acting = MaintenanceState.EMPTY;
    boolean quorum = true;
    String leader;
    /** Shares of what goes well: acts done, versions agreed, gatherers that hear the list, staff that come back. */
    double smooth = 1;
    boolean returns = true;
    int steps;

    MaintenanceSimulation(long seed, List<Machine> machines, List<BlockHolders> blocks, Budgets budgets) {
        this.random = new Random(seed);
        this.blocks = blocks;
        this.budgets = budgets;
        machines.forEach(m -> {
            boxes.put(m.id(), new Box(m));
            boxes.get(m.id()).phaseSince = now;
            if (m.role() == MachineRole.GATHERER) {
                gates.put(m.id(), new Gate());
            }
        });
        leader = gates.isEmpty() ? "" : gates.keySet().iterator().next();
    }

    private boolean well() {
        return random.nextDouble() < smooth;
    }

    void crash(String id) {
        Box b = boxes.get(id);
        b.up = false;
        b.phaseSince = now;
        gates.values().forEach(g -> g.parts.removeIf(p -> p.getKey().equals(id)));
        if (gates.containsKey(id)) {
            gates.get(id).parts.clear();
            gates.get(id).silentSince = now - LEASE; // it has no lease when it starts
        }
    }

    void start(String id) {
        Box b = boxes.get(id);
        if (!b.up && b.backAt == 0) {
            b.up = true;
            b.life++;
            b.served = 0;
            b.phaseSince = now;
        }
    }

    void cut(String id, boolean cut) {
        gates.get(id).cut = cut;
        silent(id);
    }

    private void silent(String id) {
        gates.get(id).silentSince = Math.max(gates.get(id).silentSince, 0) == 0 ? now : gates.get(id).silentSince;
    }

    private boolean answers(String id) {
        return boxes.get(id).up && !gates.get(id).cut;
    }

    /** Time goes on, and then all do what is theirs. */
    void tick(long by) {
        now += by;
        boxes.forEach((id, b) -> {
            b.served += b.up && b.listed ? by : 0;
            if (b.backAt != 0 && b.backAt <= now && returns) {
                b.backAt = 0;
                start(id);
            }
        });
        gates.forEach(this::traffic);
        FleetSnapshot seen = seen();
        MaintenanceState before = acting;
        MaintenanceState next = MaintenanceStateMachine.next(now + skew, before, seen, budgets);
        if (steps % 8 == 0) { // a function, and a document can carry it
            assertEquals(next,
                    MaintenanceStateMachine.next(now + skew, MaintenanceInvariants.read(before), seen, budgets));
        }
        MaintenanceInvariants.version(before, next, seen, budgets);
        if (well()) { // else it was not agreed on
            acting = next;
            next.requests().forEach((id, s) -> {
                if (s.stage() == MaintenanceStage.DONE && before.requests().get(id).stage() != MaintenanceStage.DONE) {
                    assertTrue(isDoneInTruth(boxes.get(s.request().machine())), id + " is not done");
                }
            });
        }
        steps++;
        MaintenanceAction.due(acting, seen, budgets).forEach(a -> {
            if (well()) {
                act(a);
            }
        });
    }

    private boolean isDoneInTruth(Box b) {
        long observed = skew == 0 && steps > 0 ? budgets.observationMillis() : 0;
        return b.up && b.listed
                && (b.as.role() == MachineRole.GATHERER || b.served >= budgets.slowStartMillis() + observed);
    }

    /** A gatherer may send a part to a node that it does not avoid. */
    private void send(String gatherer, Gate g, String machine, Box b) {
        if (b.as.role() == MachineRole.NODE && !g.heeds.contains(machine)) {
            assertTrue(b.backAt == 0 || b.listed, gatherer + " sends to " + machine + ", which is worked on");
            if (b.up && random.nextBoolean()) {
                g.parts.add(Map.entry(machine, now + 1 + random.nextInt((int) PART)));
            }
        }
    }

    private void traffic(String id, Gate g) {
        Box own = boxes.get(id);
        g.parts.removeIf(p -> p.getValue() <= now);
        if (answers(id)) {
            if (g.silentSince != 0 || well()) { // with a lease again it has the list of it
                var heeds = new TreeSet<String>();
                boxes.forEach((m, b) -> {
                    if (!b.listed) {
                        heeds.add(m);
                    }
                });
                g.heeds = heeds;
            }
            g.silentSince = 0;
        }
        if (own.up && (g.silentSince == 0 || now < g.silentSince + LEASE)) {
            boxes.forEach((m, b) -> send(id, g, m, b));
        }
        if (g.silentSince == 0) {
            Map<String, Integer> out = new HashMap<>();
            g.parts.forEach(p -> out.merge(p.getKey(), 1, Integer::sum));
            g.last = new GathererReport(id, 0, g.heeds, out);
        }
    }

    private void act(MaintenanceAction a) {
        Box b = boxes.get(a.machine());
        switch (a.type()) {
            case DRAIN, HAND_OVER -> list(b, false);
            case SERVE -> list(b, true);
            case TRANSFER_LEADERSHIP ->
                leader = gates.keySet().stream().filter(g -> !g.equals(a.machine()) && answers(g)).findFirst()
                        .orElse(leader);
            case NOTIFY_FREE -> {
                if (b.up) {
                    gates.forEach((id, g) -> assertTrue(!boxes.get(id).up || g.parts.stream().noneMatch(
                            p -> p.getKey().equals(a.machine()) && p.getValue() > now),
                            "parts are out on " + a.machine()));
                    crash(a.machine());
                    b.backAt = now + 1 + random.nextInt(25_000);
                }
            }
            default -> {}
        }
    }

    void list(Box b, boolean serving) {
        if (b.listed != serving) {
            b.listed = serving;
            b.phaseSince = now;
        }
    }

    FleetSnapshot seen() {
        var machines = new ArrayList<Machine>();
        boxes.forEach((id, b) -> machines.add(new Machine(id, b.as.role(), b.as.centre(), b.as.capacity(), b.as.voter(),
                !b.up ? MachinePhase.AWAY : b.listed ? MachinePhase.SERVING : MachinePhase.DRAINING, "" + b.life,
                now - b.phaseSince,
                b.served)));
        var words = new ArrayList<GathererReport>();
        gates.forEach((id, g) -> {
            if (g.last != null) {
                words.add(new GathererReport(id, g.silentSince == 0 ? 0 : now - g.silentSince + 1, g.last.avoids(),
                        g.last.inFlight()));
            }
        });
        return new FleetSnapshot(machines, blocks, words, gates.size(), quorum, leader);
    }

    /** All faults end, and staff let it go on. */
    void heal(Budgets sane) {
        budgets = sane;
        skew = 0;
        smooth = 1;
        returns = true;
        quorum = true;
        gates.keySet().forEach(g -> cut(g, false));
        boxes.keySet().forEach(this::start);
        acting = RequestOperations.hold(acting, false);
        for (String id : acting.requests().keySet()) {
            try {
                acting = RequestOperations.hold(acting, id, false);
            } catch (RequestRejectedException e) {
                throw new AssertionError(e);
            }
        }
    }

    /** Runs until nothing is left to come; then each wish is over, or held for what only a person mends. */
    void settle(long by) {
        for (int i = 0; i < 400
                && acting.requests().values().stream().anyMatch(s -> !s.stage().isFinal() && !forPeople(s)); i++) {
            tick(by);
        }
        acting.requests()
                .forEach(
                        (id, s) -> assertTrue(s.stage().isFinal() || forPeople(s), () -> s + " in " + acting + seen()));
        boxes.forEach((id, b) -> assertTrue(b.up && b.listed, id + " does not serve"));
    }

    private static boolean forPeople(RequestStatus s) {
        return s.stage() == MaintenanceStage.HELD && s.reasons().stream()
                .allMatch(r -> r.rule() == MaintenanceRule.BY || r.rule() == MaintenanceRule.PIN);
    }
}

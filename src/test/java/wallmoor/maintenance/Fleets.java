package wallmoor.maintenance;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import wallmoor.maintenance.Machine.Kind;
import wallmoor.maintenance.Machine.Phase;

/** Small fleets for tests: serving and warm unless a line says otherwise. */
final class Fleets {
    static final long COLD = 18_000;
    static final long WARM_UP = 5_000;
    static final long PARTS = 5_000;

    private Fleets() {}

    static Budgets budgets(int atOnce) {
        return new Budgets(atOnce, Map.of(), 0, 0, Budgets.Hours.ANY, COLD, 160_000, WARM_UP, PARTS, 60_000, 30_000);
    }

    static Budgets kept(Budgets b, int capacity, int gatherers) {
        return new Budgets(b.atOnce(), b.centres(), capacity, gatherers, b.hours(), b.cold(), b.coldShare(), b.warmUp(),
                b.parts(),
                b.drain(), b.late());
    }

    static Budgets centres(Budgets b, Map<String, Integer> centres) {
        return new Budgets(b.atOnce(), centres, b.capacityKept(), b.gatherersKept(), b.hours(), b.cold(), b.coldShare(),
                b.warmUp(),
                b.parts(), b.drain(), b.late());
    }

    static Budgets hours(Budgets b, Budgets.Hours hours) {
        return new Budgets(b.atOnce(), b.centres(), b.capacityKept(), b.gatherersKept(), hours, b.cold(), b.coldShare(),
                b.warmUp(),
                b.parts(), b.drain(), b.late());
    }

    static Machine node(String id) {
        return machine(id, Kind.NODE, Phase.SERVING, "1", COLD);
    }

    static Machine gatherer(String id) {
        return machine(id, Kind.GATHERER, Phase.SERVING, "1", COLD);
    }

    /** Its data centre is its id's first letter. */
    static Machine machine(String id, Kind kind, Phase phase, String life, long served) {
        return new Machine(id, kind, id.substring(0, 1), 1, kind == Kind.GATHERER, phase, life, PARTS, served);
    }

    static Block block(String id, String... on) {
        return new Block(id, List.of(on));
    }

    static Fleet fleet(List<Machine> machines, Block... blocks) {
        return new Fleet(machines, List.of(blocks), List.of(), 0, true, "");
    }

    /** The same with one machine as this one. */
    static Fleet with(Fleet f, Machine m) {
        var all = new ArrayList<>(f.machines());
        all.replaceAll(x -> x.id().equals(m.id()) ? m : x);
        return new Fleet(all, f.blocks(), f.words(), f.gatherers(), f.quorum(), f.leader());
    }

    static Fleet phase(Fleet f, String id, Phase phase) {
        Machine m = f.byId().get(id);
        return with(f, machine(id, m.kind(), phase, m.life(), m.servedFor()));
    }

    static Fleet words(Fleet f, int gatherers, GathererReport... words) {
        return new Fleet(f.machines(), f.blocks(), List.of(words), gatherers, f.quorum(), f.leader());
    }

    static Fleet quorum(Fleet f, boolean quorum, String leader) {
        return new Fleet(f.machines(), f.blocks(), f.words(), f.gatherers(), quorum, leader);
    }

    static GathererReport free(String gatherer, String... machines) {
        return new GathererReport(gatherer, 0, Set.of(machines), Map.of());
    }

    static Wish wish(String machine, String... after) {
        return wish(machine, 20_000, Wish.ANY_TIME, after);
    }

    static Wish wish(String machine, long lasts, long by, String... after) {
        return new Wish("w-" + machine, machine, lasts, by, "patch", "kim", new TreeSet<>(Arrays.asList(after)),
                new TreeSet<>());
    }

    static State ask(State state, long now, Wish... wishes) {
        State next = state;
        for (Wish w : wishes) {
            try {
                next = Asks.ask(next, w, now);
            } catch (AskException e) {
                throw new AssertionError(e);
            }
        }
        return next;
    }

    static Step step(State s, String machine) {
        return s.wishes().get("w-" + machine).step();
    }

    static List<Reason> why(State s, String machine) {
        return s.wishes().get("w-" + machine).why();
    }
}

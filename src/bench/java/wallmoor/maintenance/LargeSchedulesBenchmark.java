package wallmoor.maintenance;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeSet;

/**
 * Plans schedules for whole fleets and prints the time, the memory, and the length of the schedule compared with the
 * lower bound and with one machine at a time. With the argument {@code orders} it checks all orders of four events in a
 * small simulation instead.
 */
public final class LargeSchedulesBenchmark {
    private LargeSchedulesBenchmark() {}

    public static void main(String[] args) {
        if (args.length > 0) {
            MaintenanceSimulationTest.runEverySequence(4);
            System.out.println("all orders of four events: no fault");
            return;
        }
        for (int[] size : new int[][] {{200, 5_000, 20, 2}, {200, 5_000, 20, 3}, {2_000, 20_000, 100, 2},
            {10_000, 50_000, 500, 2}}) {
            for (int seed = 0; seed < 3; seed++) {
                plan(seed, size[0], size[1], size[2], size[3]);
            }
        }
    }

    private static void plan(long seed, int nodes, int count, int atOnce, int copies) {
        var random = new Random(seed);
        var machines = new ArrayList<Machine>();
        var requests = new ArrayList<MaintenanceRequest>();
        for (int i = 0; i < nodes; i++) {
            String id = "n" + i;
            machines.add(new Machine(id, Machine.MachineRole.NODE, "c" + i % 8, 1, false, Machine.MachinePhase.SERVING,
                    "1", 0,
                    1_000_000));
            requests.add(new MaintenanceRequest("w" + i, id, 600_000 + random.nextInt(4) * 300_000L,
                    MaintenanceRequest.NO_DEADLINE, "", "",
                    new TreeSet<>(),
                    new TreeSet<>()));
        }
        var blocks = new ArrayList<BlockHolders>();
        for (int b = 0; b < count; b++) {
            var holders = new TreeSet<String>();
            while (holders.size() < copies) {
                holders.add("n" + random.nextInt(nodes));
            }
            blocks.add(new BlockHolders("b" + b, List.copyOf(holders)));
        }
        var budgets = new Budgets(atOnce, Map.of(), 700_000, 0, Budgets.MaintenanceWindows.ANY, 18_000, 160_000, 30_000,
                10_000,
                600_000, 600_000);
        var fleet = new FleetSnapshot(machines, blocks, List.of(), 0, true, "");
        long startNanos = System.nanoTime();
        var schedule = (SchedulingResult.Schedule) MaintenancePlanner.plan(0, requests, fleet, budgets);
        double seconds = (System.nanoTime() - startNanos) / 1e9;
        System.gc();
        long sequentialMillis = requests.stream().mapToLong(budgets::outageMillis).sum();
        System.out.printf(
                "%d nodes, %d blocks on %d, %d at once: %.2f s, %d MB after; takes %d min, bound %d (%.3f), one at a "
                        + "time %d%n",
                nodes, count, copies, atOnce, seconds,
                (Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory()) >> 20,
                schedule.endsAt() / 60_000, schedule.lowerBound() / 60_000, (double) schedule.endsAt()
                        / schedule.lowerBound(),
                sequentialMillis / 60_000);
    }
}

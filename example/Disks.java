import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Starts three nodes with disks on loopback (ports 9301 to 9303) and drains the first one. Build the project first,
 * then start this program from the root with {@code java example/Disks.java}. It prints the progress of the moves until
 * they are complete, and the directories to look into. While it runs, {@code rebalance pause
 *
 * <p>resume
 *
 * <p>stop --dir DIR} work from another terminal.
 *
 * <p>With control ports of gatherers, {@code java example/Disks.java 127.0.0.1:7971,127.0.0.1:7972}, the gatherers
 * store the plan: start {@code example/FiveRules.java} first, kill some of them meanwhile, and use {@code --rules
 * 127.0.0.1:7975} instead of {@code --dir DIR}.
 */
public final class Disks {
    private static final String JAVA = ProcessHandle.current().info().command().orElse("java");

    /** Starts the nodes and the rebalancing and waits until the moves end. */
    public static void main(String[] args) throws Exception {
        Path folder = Files.createTempDirectory("disks");
        List<Process> running = new ArrayList<>();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> running.forEach(Process::destroyForcibly)));
        List<String> replicas = List.of("cars:20000000:20 hires:20000000:20", "fines:20000000:20", "cars:20000000:20");
        var fleetDocument = new StringBuilder("headroom: 0.1\nspread: node\ncarry: {mb_per_s: 4, settle: 6s, longest_query: 1s}\nnodes:\n");
        for (int i = 1; i <= 3; i++) {
            Path dir = Files.createDirectories(folder.resolve("node-" + i));
            Files.writeString(dir.resolve("peers"), "node-1 127.0.0.1:9301\nnode-2 127.0.0.1:9302\nnode-3 127.0.0.1:9303\n");
            List<String> command = new ArrayList<>(List.of(JAVA, "-cp", "target/wallmoor.jar",
                    "src/test/java/wallmoor/standin/DiskNode.java", dir.toString(), "" + (9300 + i), "100", "200"));
            command.addAll(Arrays.asList(replicas.get(i - 1).split(" ")));
            running.add(new ProcessBuilder(command).inheritIO().start());
            fleetDocument.append("- {id: node-").append(i).append(", disk_mb: 100, drain: ").append(i == 1).append(", address: '127.0.0.1:")
                    .append(9300 + i).append("'}\n");
        }
        fleetDocument.append("blocks:\n- {id: cars, mb: 20, on: [node-1, node-3]}\n- {id: hires, mb: 20, on: [node-1]}\n"
                + "- {id: fines, mb: 20, on: [node-2]}\n");
        Path fleet = Files.writeString(folder.resolve("fleet.yaml"), fleetDocument);
        System.out.println("nodes and plan: " + folder);
        String storeOption = args.length > 0 ? "--rules" : "--dir";
        String storeLocation = args.length > 0 ? args[0] : folder.resolve("plan").toString();
        Process start = wallmoor("start", fleet.toString(), storeOption, storeLocation);
        running.add(start);
        Process watch = null;
        while (start.isAlive()) {
            if (watch == null || !watch.isAlive() && watch.exitValue() != 0) { // the plan has no first version yet
                Thread.sleep(1_000);
                watch = wallmoor("status", "--watch", storeOption, storeLocation);
                running.add(watch);
            }
            Thread.sleep(100);
        }
        System.exit(start.waitFor());
    }

    private static Process wallmoor(String... args) throws Exception {
        List<String> command = new ArrayList<>(List.of(JAVA, "-Xmx64m", "-jar", "target/wallmoor.jar", "rebalance"));
        command.addAll(List.of(args));
        return new ProcessBuilder(command).inheritIO().start();
    }
}

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Three nodes with disks on loopback (ports 9301 to 9303), and a drain of the first carried out between them. Build
 * first, then
 * start it from the root with {@code java example/Disks.java}. It prints how far the moves are until they are done, and
 * the
 * directories to look into. While it runs, {@code rebalance pause|resume|stop --dir DIR} work from another terminal.
 *
 * <p>With control ports of gatherers, {@code java example/Disks.java 127.0.0.1:7971,127.0.0.1:7972}, those agree on the
 * plan:
 * start {@code example/FiveRules.java} before, kill some of them meanwhile, and say {@code --rules 127.0.0.1:7975} for
 * {@code --dir DIR}.
 */
public final class Disks {
    private static final String JAVA = ProcessHandle.current().info().command().orElse("java");

    /** Starts all and waits for the end of the moves. */
    public static void main(String[] args) throws Exception {
        Path folder = Files.createTempDirectory("disks");
        List<Process> running = new ArrayList<>();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> running.forEach(Process::destroyForcibly)));
        List<String> holds = List.of("cars:20000000:20 hires:20000000:20", "fines:20000000:20", "cars:20000000:20");
        var file = new StringBuilder("headroom: 0.1\nspread: node\ncarry: {mb_per_s: 4, settle: 6s, longest_query: 1s}\nnodes:\n");
        for (int i = 1; i <= 3; i++) {
            Path dir = Files.createDirectories(folder.resolve("node-" + i));
            Files.writeString(dir.resolve("peers"), "node-1 127.0.0.1:9301\nnode-2 127.0.0.1:9302\nnode-3 127.0.0.1:9303\n");
            List<String> command = new ArrayList<>(List.of(JAVA, "-cp", "target/wallmoor.jar",
                    "src/test/java/wallmoor/standin/DiskNode.java", dir.toString(), "" + (9300 + i), "100", "200"));
            command.addAll(Arrays.asList(holds.get(i - 1).split(" ")));
            running.add(new ProcessBuilder(command).inheritIO().start());
            file.append("- {id: node-").append(i).append(", disk_mb: 100, drain: ").append(i == 1).append(", address: '127.0.0.1:")
                    .append(9300 + i).append("'}\n");
        }
        file.append("blocks:\n- {id: cars, mb: 20, on: [node-1, node-3]}\n- {id: hires, mb: 20, on: [node-1]}\n"
                + "- {id: fines, mb: 20, on: [node-2]}\n");
        Path fleet = Files.writeString(folder.resolve("fleet.yaml"), file);
        System.out.println("nodes and plan: " + folder);
        String kept = args.length > 0 ? "--rules" : "--dir";
        String where = args.length > 0 ? args[0] : folder.resolve("plan").toString();
        Process start = wallmoor("start", fleet.toString(), kept, where);
        running.add(start);
        Process watch = null;
        while (start.isAlive()) {
            if (watch == null || !watch.isAlive() && watch.exitValue() != 0) { // there is no first version yet
                Thread.sleep(1_000);
                watch = wallmoor("status", "--watch", kept, where);
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

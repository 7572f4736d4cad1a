import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Starts five gatherers that agree on rules, the first three of them voters, on loopback: HTTP on 3001 to 3005, voters
 * on 7961 to 7963, control ports on 7971 to 7975. Build the project first, then start this program from the root with
 * {@code java example/FiveRules.java}. It prints each change of the rules in effect at a gatherer. Commands for another
 * terminal:
 *
 * <pre>
 * java -jar target/wallmoor.jar rules check settings example/settings.json
 * java -jar target/wallmoor.jar rules propose settings example/settings.json --at 127.0.0.1:7975
 * java -jar target/wallmoor.jar rules show --at 127.0.0.1:7971
 * java -jar target/wallmoor.jar rules history settings --at 127.0.0.1:7974
 * </pre>
 *
 * A line with a number from 1 to 5 kills that gatherer or starts it again; an empty line ends all.
 */
public final class FiveRules {
    private static final Process[] RUNNING = new Process[6];
    private static Path folder;

    /** Starts the five gatherers and runs the commands from standard input. */
    public static void main(String[] args) throws Exception {
        folder = Files.createTempDirectory("five-rules");
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            for (Process process : RUNNING) {
                if (process != null) {
                    process.destroyForcibly();
                }
            }
        }));
        for (int i = 1; i <= 5; i++) {
            start(i);
        }
        var in = new BufferedReader(new InputStreamReader(System.in));
        for (String line = in.readLine(); line != null && !line.isBlank(); line = in.readLine()) {
            if (!line.trim().matches("[1-5]")) {
                System.out.println("a number from 1 to 5, or an empty line to end");
                continue;
            }
            int number = Integer.parseInt(line.trim());
            if (RUNNING[number].isAlive()) {
                RUNNING[number].destroyForcibly().waitFor();
                System.out.println("killed g" + number);
            } else {
                start(number);
            }
        }
        System.exit(0);
    }

    private static void start(int number) throws Exception {
        Path config = folder.resolve("g" + number + ".json");
        Files.writeString(config, Files.readString(Path.of("example/config.json")).replace("\"name\": \"example\"", "\"name\": \"g" + number + "\"")
                .replace("127.0.0.1:3000", "127.0.0.1:" + (3000 + number)).replace("27a5be964", "27a5be96" + number));
        Path operator = folder.resolve("g" + number + ".yaml");
        Files.writeString(operator, "rules:\n  voters: {g1: \"127.0.0.1:7961\", g2: \"127.0.0.1:7962\", g3: \"127.0.0.1:7963\"}\n"
                + "  directory: g" + number + "\n  control: 127.0.0.1:" + (7970 + number) + "\n");
        var builder = new ProcessBuilder("java", "-Xmx64m", "-jar", "target/wallmoor.jar", "serve").redirectErrorStream(true);
        builder.environment().put("ROUTER_CONFIG", config.toString());
        builder.environment().put("WALLMOOR_OPERATOR", operator.toString());
        RUNNING[number] = builder.start();
        var log = new BufferedReader(new InputStreamReader(RUNNING[number].getInputStream()));
        var thread = new Thread(() -> log.lines().filter(l -> l.contains("rules: ")).map(l -> l.substring(l.indexOf("rules: ") + 7))
                .forEach(l -> System.out.println("g" + number + " " + l)));
        thread.setDaemon(true);
        thread.start();
    }
}

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Case 7: three gatherers agree on rules. While the first one waits for the two others, whose machines are not up yet,
 * `run` starts a second time beside it, as at an upgrade; that process ends by itself. Later a version is accepted while
 * one gatherer is down; all are killed, and two of the three come back.
 *
 * <p>The clients' listening socket of the first gatherer is descriptor 0 of this process, which run.sh opens.
 */
public final class SecondStart {
    private static final int TERM_MILLIS = 1000;
    /** "After a change of leader, a term and some 3 s"; five times that. */
    private static final int RECOVERY_MILLIS = 20_000;

    private final Site site;
    private final int[] listen = new int[4];
    private final int[] voter = new int[4];
    private final int[] control = new int[4];
    private final int[] admin = new int[5];
    private final Process[] running = new Process[4];
    private int discovery;

    private SecondStart(Site site) {
        this.site = site;
    }

    public static void main(String[] args) throws Exception {
        int code;
        try (var site = new Site()) {
            code = new SecondStart(site).run();
        } catch (Site.CannotRun e) {
            System.out.println(e.getMessage());
            code = 2;
        }
        System.exit(code);
    }

    private int run() throws Exception {
        discovery = new Nodes(6, 3, 60).discoveryPort;
        for (int i = 1; i <= 3; i++) {
            listen[i] = site.port();
            voter[i] = site.port();
            control[i] = site.port();
            admin[i] = site.port();
        }
        listen[1] = Integer.parseInt(System.getenv("HELD_PORT"));
        admin[4] = site.port();
        site.freePorts();
        start(1);
        Thread.sleep(2500);
        site.note("g1 waits: " + rules(1, "explain").trim());
        if (Site.TROUBLE) {
            secondProcess();
        }
        start(2);
        start(3);
        propose(1, "{\"limits.open\": 200}");
        awaitVersion("before the kills", 1, 1, 2, 3);

        kill(3);
        propose(1, "{\"limits.open\": 150}");
        awaitVersion("with g3 down", 2, 1, 2);

        kill(1);
        kill(2);
        site.note("all three are down; g1 and g3 start again, two of three voters, each with its files");
        start(1);
        start(3);
        boolean held = false;
        for (long end = site.millis() + RECOVERY_MILLIS; site.millis() < end && !held;) {
            Thread.sleep(500);
            held = version(1) == 2 && version(3) == 2;
        }
        for (int i = 1; i <= 3; i += 2) {
            site.note("g" + i + " shows:\n" + rules(i, "show", "settings") + "g" + i + " history:\n"
                    + rules(i, "history", "settings") + "g" + i + " explains:\n" + rules(i, "explain"));
        }
        site.note(held ? "version 2 is in force at g1 and g3" : "version 2, which was accepted and in force, is LOST");
        return held ? 0 : 1;
    }

    /** Starts `run` a second time beside g1, with the same addresses and another operators' address. */
    private void secondProcess() throws Exception {
        Process second = launch(1, admin[4]);
        boolean ended = second.waitFor(6, TimeUnit.SECONDS);
        site.note("the second process of g1 " + (ended ? "has ended by itself, exit code " + second.exitValue()
                : "does not end; it is told to"));
        if (!ended) {
            site.signal(second, "TERM");
            second.waitFor(10, TimeUnit.SECONDS);
        }
    }

    private void start(int i) throws Exception {
        running[i] = launch(i, admin[i]);
        site.awaitReady(listen[i]);
    }

    private Process launch(int i, int adminPort) throws Exception {
        Path config = site.folder.resolve("g" + i + "-" + adminPort + ".json");
        Files.writeString(config, Nodes.config("g" + i, listen[i], discovery, adminPort, Nodes.classes("free"),
                Nodes.DOMAIN, 192));
        Path operator = site.folder.resolve("g" + i + ".yaml");
        Files.writeString(operator, "rules:\n  voters: {g1: \"127.0.0.1:" + voter[1] + "\", g2: \"127.0.0.1:" + voter[2]
                + "\", g3: \"127.0.0.1:" + voter[3] + "\"}\n  term: " + TERM_MILLIS + "ms\n  directory: rules-g" + i
                + "\n  control: 127.0.0.1:" + control[i] + "\n");
        return site.gatherer("g" + i, config, operator, i == 1);
    }

    private void kill(int i) throws Exception {
        site.signal(running[i], "KILL");
        running[i].waitFor();
    }

    /** Proposes a body until it is accepted; a group that has just started may have no leader yet. */
    private void propose(int at, String body) throws Exception {
        Path file = Files.writeString(site.folder.resolve("body.json"), body);
        for (int i = 0; i < 5; i++) {
            String answer = rules(at, "propose", "settings", file.toString(), "--author", "ann", "--wait", "10");
            site.note("rules propose settings " + body + " at g" + at + ": " + answer.trim());
            if (answer.startsWith("exit 0")) {
                return;
            }
            Thread.sleep(1000);
        }
        throw new Site.CannotRun("the proposal was not accepted: " + body);
    }

    private void awaitVersion(String when, int version, int... gatherers) throws Exception {
        for (int i = 0; i < 40; i++) {
            int count = 0;
            for (int g : gatherers) {
                count += version(g) == version ? 1 : 0;
            }
            if (count == gatherers.length) {
                site.note("version " + version + " is in force " + when + " at all that run");
                return;
            }
            Thread.sleep(250);
        }
        throw new Site.CannotRun("version " + version + " did not come into force " + when);
    }

    /** Returns the version of settings that a gatherer applies under a lease, or -1. */
    private int version(int gatherer) throws Exception {
        String shown = rules(gatherer, "show", "settings", "--json");
        var m = java.util.regex.Pattern.compile("\"acting\":([0-9]+)").matcher(shown);
        return shown.startsWith("exit 0") && m.find() ? Integer.parseInt(m.group(1)) : -1;
    }

    private String rules(int gatherer, String... arguments) throws IOException, InterruptedException {
        var command = new ArrayList<>(List.of("java", "-Xshare:auto", "-jar", "target/wallmoor.jar", "rules"));
        command.addAll(List.of(arguments));
        command.add("--at");
        command.add("127.0.0.1:" + control[gatherer]);
        Process p = new ProcessBuilder(command).directory(Site.ROOT.toFile()).redirectErrorStream(true).start();
        String text = new String(p.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        return "exit " + p.waitFor() + "\n" + text;
    }
}

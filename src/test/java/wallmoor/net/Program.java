package wallmoor.net;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.UnaryOperator;
import wallmoor.standin.Ports;

/** The real program as a process, with the configuration that a test supplies. */
final class Program implements java.io.Closeable {
    static final String SETTINGS = """
            {"Instances":1,"Position":0,"Az":0,"Dcs":["east","west"],"Kinds":["k"],"Round":5000,"Discovery":"subscribe",
             "Classes":[
              {"Name":"any","Aim":1000000,"GiveUp":2000000,"LateWorth":0.1,"Repeat":"free","Worth":1.0},
              {"Name":"all","Aim":1000000,"GiveUp":2000000,"LateWorth":0.1,"Repeat":"free","Worth":1.0},
              {"Name":"once","Aim":1000000,"GiveUp":2000000,"LateWorth":0.3,"Repeat":"single_shot","Worth":1.0}],
             "Domain":{"Slabs":4,"Sets":2,"Reach":1,"BundleMax":1,"NeedByClass":[0.5,1.0,1.0],
              "FloorByClass":[0.5,1.0,1.0],"PartialEarns":[0.9,0.9,0.9],"FollowUp":[0,0,0]},
             "Limits":{"MaxAttempts":4,"MaxOpen":60,"Cancelling":true,"ParallelTries":false,"ConnectTimeout":250000,
              "StreamsPerConn":100,"ConnIdle":3000000,"MaxRetryAfter":2000000,"RetryAfter":false},
             "Contract":{"DrainGrace":2000000,"ColdShare":0.16,"Cold":18000000,"FallMultiple":2.0,
              "OverloadFor":2000000,"GraceToAnswer":20000,"AskWithin":10000000},
             "Costs":{"CrossZone":0.026,"Waste":0.077}}""";

    private static final int HEAP_MB = 96;
    static final long SEED = 0x8c1f30d27a5be964L;

    final List<String> log = Collections.synchronizedList(new ArrayList<>());
    final int port;
    final Process process;
    final Path file = Files.createTempFile("wallmoor", ".json");

    private final int sockets;

    /**
     * Starts the program with the members that it knows at start and 1024 descriptors.
     *
     * @param discovery the port of discovery
     * @param operator  the operators' file, or null
     */
    Program(int discovery, String members, Path operator) throws Exception {
        this(discovery, members, operator, 1024);
    }

    /** Starts the program with a limit of descriptors. */
    Program(int discovery, String members, Path operator, int sockets) throws Exception {
        this(discovery, members, operator, sockets, "subscribe");
    }

    /** Starts the program with a discovery mode, which is the value of {@code Discovery} in the settings. */
    Program(int discovery, String members, Path operator, int sockets, String discoveryMode) throws Exception {
        this(discovery, members, operator, sockets, config -> config
                .replace("\"Discovery\":\"subscribe\"", "\"Discovery\":\"" + discoveryMode + "\""));
    }

    /** Starts the program with a configuration that {@code change} makes of the usual one. */
    Program(int discovery, String members, Path operator, int sockets, UnaryOperator<String> change)
            throws Exception {
        port = Ports.free();
        this.sockets = sockets;
        Files.writeString(file, change.apply(config("t", SEED, port, discovery, members, sockets)));
        process = launch(file, operator, HEAP_MB);
        read(process, log);
        awaitReady(port);
    }

    /** Waits until the program at this port is ready. */
    static void awaitReady(int port) throws InterruptedException {
        await("ready", () -> {
            try {
                return Client.get(port, "/-/ready").status == 200;
            } catch (IOException e) {
                return false;
            }
        });
    }

    /** Starts a thread that adds each line of a process's standard error to the log. */
    static void read(Process process, List<String> log) {
        var reader = new Thread(() -> {
            try (var lines = new BufferedReader(new InputStreamReader(process.getErrorStream(), UTF_8))) {
                lines.lines().forEach(log::add);
            } catch (IOException | RuntimeException e) {
                log.add("log ended: " + e);
            }
        });
        reader.setDaemon(true);
        reader.start();
    }

    /** Returns a configuration. Gatherers of a group need different seeds, or they would act in lockstep. */
    static String config(String name, long seed, int port, int discovery, String members, int sockets) {
        return "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\"127.0.0.1:" + discovery
                + "\",\"seed\":\"" + Long.toHexString(seed) + "\",\"limits\":{\"sockets\":" + sockets
                + "},\"known\":{\"revision\":41,\"complete\":true,\"members\":[" + members + "]},\"settings\":"
                + SETTINGS + "}";
    }

    /** Returns the configuration with class {@code once} changed to one whose queries carry idempotency keys. */
    static String withKeyedClass(String config) {
        return config.replace("\"Repeat\":\"single_shot\"", "\"Repeat\":\"guarded\",\"DedupWindow\":4000000");
    }

    /** Returns the configuration with an operators' address on this port added. */
    static String withAdmin(String config, int admin) {
        return "{\"admin_addr\":\"127.0.0.1:" + admin + "\"," + config.substring(1);
    }

    /**
     * Replaces the configuration file and sends SIGHUP.
     *
     * @param discovery   the port of discovery in the new configuration
     * @param replacement the text to write in place of that configuration, or null
     */
    void reload(int discovery, String replacement) throws Exception {
        Files.writeString(file, replacement != null ? replacement : config("t", SEED, port, discovery, "", sockets));
        hangUp();
    }

    /** Sends SIGHUP, on which the program reads its files again. */
    void hangUp() throws Exception {
        signal(process, "HUP");
    }

    /** Sends a signal, whose name is given without {@code SIG}. */
    static void signal(Process process, String name) throws Exception {
        new ProcessBuilder("kill", "-" + name, "" + process.pid()).start().waitFor();
    }

    static Process launch(String config, Path operator) throws IOException {
        return launch(config, operator, HEAP_MB);
    }

    /** Starts the program with a heap of so many megabytes. */
    static Process launch(String config, Path operator, int heapMb) throws IOException {
        return launch(Files.writeString(Files.createTempFile("wallmoor", ".json"), config), operator, heapMb);
    }

    private static Process launch(Path file, Path operator, int heapMb) throws IOException {
        file.toFile().deleteOnExit();
        var builder = new ProcessBuilder(command(heapMb));
        builder.environment().put("ROUTER_CONFIG", file.toString());
        if (operator != null) {
            builder.environment().put("WALLMOOR_OPERATOR", operator.toString());
        }
        return builder.start();
    }

    /** Returns the command that starts the program as a server. */
    static List<String> command() {
        return command(HEAP_MB);
    }

    private static List<String> command(int heapMb) {
        return List.of(ProcessHandle.current().info().command().orElse("java"), "-Xmx" + heapMb + "m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1", "-cp", System.getProperty("java.class.path"), "wallmoor.Main", "serve");
    }

    /** Waits at most 15 s, which is enough on a slow machine, until a condition holds. */
    static void await(String event, BooleanSupplier condition) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(15);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > until) {
                throw new AssertionError("not within 15 s: " + event);
            }
            Thread.sleep(10);
        }
    }

    @Override
    public void close() {
        process.destroyForcibly().onExit().join();
    }
}

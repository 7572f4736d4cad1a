package wallmoor;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStreamWriter;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import wallmoor.adapter.Adapter;
import wallmoor.adapter.WireException;
import wallmoor.config.ConfigException;
import wallmoor.config.Launch;
import wallmoor.config.OgcConfig;
import wallmoor.core.Clock;
import wallmoor.decision.RouterApi.QueryClass;
import wallmoor.decision.RouterApi.Settings;
import wallmoor.json.Json;
import wallmoor.ogc.Features;
import wallmoor.platform.Platform;
import wallmoor.platform.Rehearsal;

/**
 * The command line: {@code serve} is a real gatherer, {@code drill} speaks the simulator's wire on standard streams, and
 * {@code rehearse} loads what serving needs and ends, for the archive of classes that the build makes.
 */
public final class Main {
    /** SIGKILL comes so long and the longest time a client waits after SIGTERM, no sooner; more than 3 s count as 3. */
    private static final long HAND_OVER_MILLIS = 700;
    private static final long LONGEST_MILLIS = 3_000;
    /** Kept back of that time: for the end of the program itself, and for the answers to what comes last. */
    private static final long LAST_MILLIS = 150;
    private static final long LEAST_TO_ANSWER_MILLIS = 400;

    /** The platform's front, once it is there to be told of a new configuration. */
    private static volatile Platform front;

    private Main() {
    }

    /** Runs a subcommand. Exits 0 at end of input, 1 on a malformed line, 2 on wrong usage or configuration. */
    public static void main(String[] args) throws IOException {
        if (args.length == 1 && args[0].equals("serve")) {
            serve();
        } else if (args.length == 1 && args[0].equals("drill")) {
            drill();
        } else if (args.length == 1 && args[0].equals("rehearse")) {
            rehearse();
        } else {
            System.err.println("usage: java -jar wallmoor.jar serve|drill|rehearse");
            System.exit(2);
        }
    }

    private static void drill() throws IOException {
        var in = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8), 1 << 16);
        var out = new PrintWriter(new OutputStreamWriter(System.out, StandardCharsets.UTF_8));
        try {
            new Adapter(in, out, System.err).run();
        } catch (WireException e) {
            System.err.println("wallmoor: " + e.getMessage());
            System.exit(1);
        }
    }

    /** All that serving does before it listens, so that the archive holds what that needs. */
    private static void rehearse() {
        onHangUp();
        Launch launch = Launch.read(System.getenv());
        OgcConfig.read(System.getenv(), launch);
        Rehearsal.run(launch);
        log("rehearsed");
    }

    private static void serve() {
        try {
            onHangUp();
            Launch launch = Launch.read(System.getenv());
            OgcConfig ogc = OgcConfig.read(System.getenv(), launch);
            Rehearsal.run(launch); // before the address is listened on: what connects meanwhile would have to wait
            var clock = new Clock();
            var platform = new Platform(launch, clock, Main::log);
            front = platform;
            Features features = ogc == null ? null : new Features(ogc, launch, clock, Main::log);
            Runtime.getRuntime().addShutdownHook(new Thread(() -> leave(platform, features, launch.settings()), "leave"));
            platform.start();
            if (features != null) {
                features.start();
                log("features on " + ogc.listen());
            }
            platform.ready(true);
            log("serving as " + launch.name() + " on " + launch.listen());
            Thread.currentThread().join();
        } catch (ConfigException | Json.Malformed e) {
            System.err.println("wallmoor: " + e.getMessage());
            System.exit(2);
        } catch (IOException e) {
            System.err.println("wallmoor: cannot listen: " + e.getMessage());
            System.exit(2);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Unhandled, SIGHUP would end the program. The platform's only API for signals is one that the compiler warns of
     * whatever it is told, and here warnings are errors: so it is reached by name.
     */
    private static void onHangUp() {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object reload = java.lang.reflect.Proxy.newProxyInstance(Main.class.getClassLoader(),
                    new Class<?>[] {handler}, (proxy, method, args) -> {
                        reload();
                        return null;
                    });
            signal.getMethod("handle", signal, handler).invoke(null,
                    signal.getConstructor(String.class).newInstance("HUP"), reload);
        } catch (ReflectiveOperationException | RuntimeException e) {
            log("SIGHUP can't be handled here: " + e);
        }
    }

    /**
     * SIGHUP: the configuration is read and checked again, and its {@code discovery} is what holds from now on. A
     * faulty file changes nothing; so does a signal before there is a front, which reads the file itself.
     */
    private static synchronized void reload() {
        Platform platform = front;
        if (platform == null) {
            return;
        }
        try {
            platform.reload(Launch.read(System.getenv()));
        } catch (ConfigException e) {
            log("configuration kept as it was: " + e.key() + ": " + e.getMessage());
        } catch (RuntimeException e) {
            log("configuration kept as it was: " + e);
        }
    }

    /**
     * SIGTERM: not ready, and out once all is answered. Clients go on using the connections they have, and the
     * gatherer that is to take over may itself not be there yet: so these are served for as long as what comes last
     * can still be answered before SIGKILL.
     */
    private static void leave(Platform platform, Features features, Settings settings) {
        platform.ready(false);
        log("told to leave");
        long longest = settings.classes().stream().mapToLong(QueryClass::giveUp).max().orElse(0) / 1000;
        long aim = settings.classes().stream().mapToLong(QueryClass::aim).max().orElse(0) / 1000;
        long end = Math.min(LONGEST_MILLIS, longest) + HAND_OVER_MILLIS - LAST_MILLIS;
        long handOver = Math.max(HAND_OVER_MILLIS, end - Math.max(LEAST_TO_ANSWER_MILLIS, aim));
        var second = new Thread(() -> {
            if (features != null) {
                leave(features::leave, HAND_OVER_MILLIS, LONGEST_MILLIS + HAND_OVER_MILLIS);
            }
        }, "leave-ogc");
        second.start();
        leave(platform::leave, handOver, end - handOver);
        try {
            second.join(LONGEST_MILLIS + 2 * HAND_OVER_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        log("left");
    }

    /** A front's way out. */
    private interface Leaving {
        void leave(long handOverMillis, long finishMillis) throws IOException, InterruptedException;
    }

    private static void leave(Leaving front, long handOverMillis, long finishMillis) {
        try {
            front.leave(handOverMillis, finishMillis);
        } catch (IOException | InterruptedException e) {
            log("left in haste: " + e);
        }
    }

    private static void log(String line) {
        System.err.println(java.time.Instant.now() + " " + line);
    }
}

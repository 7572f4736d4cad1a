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
import wallmoor.core.WarmUp;
import wallmoor.json.Json;
import wallmoor.ogc.Features;
import wallmoor.platform.Platform;

/** The command line: {@code serve} is a real gatherer, {@code drill} speaks the simulator's wire on standard streams. */
public final class Main {
    /** After SIGTERM new connections keep coming for up to 0.4 s; longer on a busy machine. */
    private static final long HAND_OVER_MILLIS = 700;
    /** SIGKILL comes no sooner than the longest deadline and 0.7 s after SIGTERM. */
    private static final long FINISH_MILLIS = 3_900;

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
        } else {
            System.err.println("usage: java -jar wallmoor.jar serve|drill");
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

    private static void serve() {
        try {
            onHangUp();
            Launch launch = Launch.read(System.getenv());
            OgcConfig ogc = OgcConfig.read(System.getenv(), launch);
            var clock = new Clock();
            var platform = new Platform(launch, clock, Main::log);
            front = platform;
            Features features = ogc == null ? null : new Features(ogc, launch, clock, Main::log);
            Runtime.getRuntime().addShutdownHook(new Thread(() -> leave(platform, features), "leave"));
            WarmUp.run(launch.settings());
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

    /** SIGTERM: not ready, still taking what comes through the hand-over, and out once all is answered. */
    private static void leave(Platform platform, Features features) {
        log("told to leave");
        platform.ready(false);
        var second = new Thread(() -> {
            if (features != null) {
                leave(features::leave);
            }
        }, "leave-ogc");
        second.start();
        leave(platform::leave);
        try {
            second.join(HAND_OVER_MILLIS + FINISH_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        log("left");
    }

    /** A front's way out. */
    private interface Leaving {
        void leave(long handOverMillis, long finishMillis) throws IOException, InterruptedException;
    }

    private static void leave(Leaving front) {
        try {
            front.leave(HAND_OVER_MILLIS, FINISH_MILLIS);
        } catch (IOException | InterruptedException e) {
            log("left in haste: " + e);
        }
    }

    private static void log(String line) {
        System.err.println(java.time.Instant.now() + " " + line);
    }
}

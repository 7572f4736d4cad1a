package wallmoor;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStreamWriter;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import org.slf4j.LoggerFactory;
import wallmoor.adapter.SimulatorAdapter;
import wallmoor.adapter.WireFormatException;
import wallmoor.cli.Commands;
import wallmoor.config.ConfigException;
import wallmoor.config.LaunchConfig;
import wallmoor.config.OperatorConfig;
import wallmoor.json.Json;
import wallmoor.log.Logging;
import wallmoor.service.ArchiveTraining;
import wallmoor.service.Service;
import wallmoor.service.WarmUp;
import wallmoor.signals.HangUp;

/**
 * The entry point: {@code serve} runs a gatherer, {@code simulate} speaks the simulator's wire on standard streams, and
 * {@code train-archive} loads what serving needs and ends, for the archive of classes that the build makes. These three
 * are dispatched here, as the platform starts them on part of a core; picocli parses all other commands.
 */
public final class Main {
    /** Names that these commands had before; deploy files may still use them. */
    private static final String FORMER_SIMULATE = "drill";
    private static final String FORMER_TRAIN_ARCHIVE = "rehearse";

    /** The gatherer, once it is there to be told of a new configuration. */
    private static volatile Service service;
    /** SIGHUP has come at least once. */
    private static volatile boolean hungUp;

    // named, the provider needs not be looked for in every library's jar, which a start on part of a core feels
    static {
        System.setProperty("slf4j.provider", "wallmoor.log.LogbackProvider");
        System.setProperty("slf4j.internal.verbosity", "WARN");
    }

    private Main() {}

    /** Runs a subcommand. Exits 0 at end of input, 1 on a malformed line, 2 on wrong usage or configuration. */
    public static void main(String[] args) throws IOException, InterruptedException {
        switch (args.length == 1 ? args[0] : "") {
            case "serve" -> serve();
            case "simulate", FORMER_SIMULATE -> simulate();
            case "train-archive", FORMER_TRAIN_ARCHIVE -> trainArchive();
            default -> System.exit(Commands.run(args));
        }
    }

    private static void simulate() throws IOException {
        var in = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8), 1 << 16);
        var out = new PrintWriter(new OutputStreamWriter(System.out, StandardCharsets.UTF_8));
        try {
            new SimulatorAdapter(in, out, System.err).run();
        } catch (WireFormatException e) {
            System.err.println("wallmoor: " + e.getMessage());
            System.exit(1);
        }
    }

    /** All that serving does from its start to its end, so that the archive holds what that needs. */
    private static void trainArchive() throws InterruptedException {
        onHangUp();
        LaunchConfig launch = LaunchConfig.read(System.getenv());
        OperatorConfig operator = OperatorConfig.read(System.getenv(), launch);
        WarmUp.run(launch, WarmUp.ARCHIVE_QUERIES);
        WarmUp.load(launch, operator);
        Logging.apply(operator.logging());
        String fault = ArchiveTraining.run(launch, operator);
        if (fault != null) {
            System.err.println("wallmoor: a start will be slower, as the rehearsal broke off: " + fault);
        }
        LoggerFactory.getLogger(Service.class).info("rehearsed for {}", launch.name());
    }

    private static void serve() {
        try {
            onHangUp();
            LaunchConfig launch = LaunchConfig.read(System.getenv());
            OperatorConfig operator = OperatorConfig.read(System.getenv(), launch);
            WarmUp.run(launch); // before the address is listened on: what connects meanwhile would have to wait
            Logging.apply(operator.logging());
            var made = new Service(launch, operator);
            service = made;
            if (hungUp) {
                made.reload();
            }
            Runtime.getRuntime().addShutdownHook(made.leaving());
            made.start();
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

    /** A signal before there is a gatherer is kept for it: the files that it was made by may be those of before. */
    private static void onHangUp() {
        try {
            boolean heard = HangUp.register(() -> {
                hungUp = true; // first: whoever sets the gatherer looks here after that
                Service told = service;
                if (told != null) {
                    told.reload();
                }
            });
            if (!heard) {
                LoggerFactory.getLogger(Main.class).warn("SIGHUP is ignored since before the start: the configuration"
                        + " will not be read again; start without nohup to have it so");
            }
        } catch (IllegalArgumentException e) {
            LoggerFactory.getLogger(Main.class).warn("SIGHUP can't be handled here: {}", e.toString());
        }
    }
}

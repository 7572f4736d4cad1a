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
import wallmoor.consensus.StoreInUseException;
import wallmoor.json.Json;
import wallmoor.log.Logging;
import wallmoor.service.ArchiveTraining;
import wallmoor.service.Service;
import wallmoor.service.WarmUp;
import wallmoor.signals.HangUp;
import wallmoor.threads.ThreadFailureHandler;

/**
 * The entry point. {@code serve} runs a gatherer, {@code simulate} speaks the simulator's protocol on the standard
 * streams, and {@code train-archive} loads the classes that serving needs and exits, so that the build can archive them
 * (class data sharing). These three are dispatched here because the platform starts them on a fraction of a core;
 * picocli parses all other commands.
 */
public final class Main {
    /** The former names of these commands; deploy files may still use them. */
    private static final String FORMER_SIMULATE = "drill";
    private static final String FORMER_TRAIN_ARCHIVE = "rehearse";

    /** The exit code of a voter whose stored files another process owns. */
    private static final int EXIT_STORE_IN_USE = 3;

    /** The running gatherer; null until it has been created. */
    private static volatile Service service;
    /** Whether SIGHUP has been received at least once. */
    private static volatile boolean hangUpReceived;

    // Naming the provider avoids a search through every library's jar, which slows a start on a fraction of a core.
    static {
        System.setProperty("slf4j.provider", "wallmoor.log.LogbackProvider");
        System.setProperty("slf4j.internal.verbosity", "WARN");
    }

    private Main() {}

    /**
     * Runs a subcommand. Exits with 0 at end of input, 1 on a malformed line, 2 on wrong usage or configuration, 3 if
     * another process owns the stored files, 4 if a thread failed that serving needs.
     */
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

    /** Runs everything that serving does from start to shutdown, so that the archive contains the classes it needs. */
    private static void trainArchive() throws InterruptedException {
        ThreadFailureHandler.install();
        onHangUp();
        LaunchConfig launch = LaunchConfig.read(System.getenv());
        OperatorConfig operator = OperatorConfig.read(System.getenv(), launch);
        WarmUp.run(launch, WarmUp.ARCHIVE_QUERIES);
        WarmUp.load(launch, operator);
        Logging.apply(operator.logging());
        String failure = ArchiveTraining.run(launch, operator);
        if (failure != null) {
            System.err.println("wallmoor: archive training failed, starts will be slower: " + failure);
        }
        LoggerFactory.getLogger(Service.class).info("archive training finished: name={}", launch.name());
    }

    private static void serve() {
        ThreadFailureHandler.install();
        try {
            onHangUp();
            LaunchConfig launch = LaunchConfig.read(System.getenv());
            OperatorConfig operator = OperatorConfig.read(System.getenv(), launch);
            WarmUp.run(launch); // before listening: clients that connected during the warm-up would have to wait
            Logging.apply(operator.logging());
            var created = new Service(launch, operator);
            service = created;
            if (hangUpReceived) {
                created.reload();
            }
            Runtime.getRuntime().addShutdownHook(created.shutdownThread());
            created.start();
            Thread.currentThread().join();
        } catch (ConfigException | Json.Malformed e) {
            System.err.println("wallmoor: " + e.getMessage());
            System.exit(2);
        } catch (StoreInUseException e) {
            System.err.println("wallmoor: " + e.getMessage());
            System.exit(EXIT_STORE_IN_USE);
        } catch (IOException e) {
            System.err.println("wallmoor: cannot listen: " + e.getMessage());
            System.exit(2);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Installs the SIGHUP handler. A signal that arrives before the gatherer exists is recorded and handled once it
     * does, because the gatherer may have been created from the files as they were before the signal.
     */
    private static void onHangUp() {
        try {
            boolean isInstalled = HangUp.register(() -> {
                // Set before service is read, because serve() sets service first and then reads this field.
                hangUpReceived = true;
                Service current = service;
                if (current != null) {
                    current.reload();
                }
            });
            if (!isInstalled) {
                LoggerFactory.getLogger(Main.class).warn("SIGHUP is ignored: the process was started that way; the"
                        + " configuration cannot be reloaded; start without nohup to enable reloads");
            }
        } catch (IllegalArgumentException e) {
            LoggerFactory.getLogger(Main.class)
                    .warn("SIGHUP handler not installed, the configuration cannot be reloaded: error={}", e.toString());
        }
    }
}

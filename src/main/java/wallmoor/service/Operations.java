package wallmoor.service;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.slf4j.LoggerFactory;
import wallmoor.bans.BanRegister;
import wallmoor.config.LaunchConfig;
import wallmoor.core.Gatherer;
import wallmoor.core.GathererControl;
import wallmoor.core.MonotonicClock;
import wallmoor.metrics.GathererMetrics;
import wallmoor.operator.BanFile;
import wallmoor.operator.OperatorControls;
import wallmoor.operator.OperatorServer;

/** Connects the operators' address to the calendar nodes' gatherer and its metrics. */
final class Operations {
    private final OperatorServer server;

    /**
     * Binds the operators' address.
     *
     * @param current returns the configuration in effect
     * @param ready   returns whether this process is ready to serve
     * @param shared  the directory of the bans, or null if they end with the process
     */
    Operations(LaunchConfig launch, Supplier<LaunchConfig> current, MonotonicClock clock, Gatherer gatherer,
            GathererMetrics metrics,
            BooleanSupplier ready, Path shared) throws IOException {
        server = new OperatorServer(launch.admin(), launch.maxAdminConnections(), new OperatorControls() {
            @Override
            public boolean isReady() {
                return ready.getAsBoolean();
            }

            @Override
            public String metricsText() {
                GathererControl.WorkerCounts workers = gatherer.control().workerCounts();
                return metrics.render(current.get().activeClassNames(), workers.known(), workers.excluded());
            }

            @Override
            public boolean isKnownWorker(String id) {
                return gatherer.control().isKnownWorker(id);
            }

            @Override
            public void setBanned(String id, boolean banned) {
                gatherer.control().setBanned(id, banned);
            }
        }, new BanRegister(), shared == null ? null : new BanFile(shared), clock);
    }

    /**
     * Creates and returns the directory that the processes of this gatherer share, which lies in TMPDIR. Returns null
     * if TMPDIR is not set or the directory can't be created.
     */
    static Path createSharedDirectory(LaunchConfig launch) {
        String parent = System.getenv("TMPDIR");
        if (parent == null || parent.isEmpty()) {
            return null;
        }
        // Other gatherers of the machine may use the same TMPDIR; the listening address makes the name unique.
        Path directory = Path.of(parent, "wallmoor-" + launch.listen().getHostString().replace(':', '.')
                + "-" + launch.listen().getPort());
        try {
            return Files.createDirectories(directory);
        } catch (IOException e) {
            LoggerFactory.getLogger(Operations.class).warn("shared directory not created, bans are lost when this"
                    + " process exits, also in an upgrade; grant this user write access to TMPDIR:"
                    + " directory={} error={}", directory, e.toString());
            return null;
        }
    }

    void start() {
        server.start();
    }

    void close() {
        server.close();
    }
}

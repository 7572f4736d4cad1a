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

/** What operators may ask and have done: their address, on the calendar nodes' gatherer and its figures. */
final class Operations {
    private final OperatorServer address;

    /** Makes it; {@code shared} is where bans are kept, or null. */
    Operations(LaunchConfig launch, Supplier<LaunchConfig> current, MonotonicClock clock, Gatherer gatherer,
            GathererMetrics figures,
            BooleanSupplier ready, Path shared) throws IOException {
        address = new OperatorServer(launch.admin(), launch.maxAdminConnections(), new OperatorControls() {
            @Override
            public boolean isReady() {
                return ready.getAsBoolean();
            }

            @Override
            public String metricsText() {
                GathererControl.WorkerCounts known = gatherer.control().workerCounts();
                return figures.render(current.get().activeClassNames(), known.known(), known.excluded());
            }

            @Override
            public boolean isKnownWorker(String id) {
                return gatherer.control().isKnownWorker(id);
            }

            @Override
            public void setBanned(String id, boolean out) {
                gatherer.control().setBanned(id, out);
            }
        }, new BanRegister(), shared == null ? null : new BanFile(shared), clock);
    }

    /**
     * The directory that the processes of this gatherer share: the platform's own, where it says so; null if there is
     * none.
     */
    static Path shared(LaunchConfig launch) {
        String named = System.getenv("TMPDIR");
        if (named == null || named.isEmpty()) {
            return null;
        }
        // a machine's common directory is not this gatherer's alone: its name and address tell whose files these are
        Path own = Path.of(named, "wallmoor-" + launch.listen().getHostString().replace(':', '.') + "-"
                + launch.listen().getPort());
        try {
            return Files.createDirectories(own);
        } catch (IOException e) {
            LoggerFactory.getLogger(Operations.class).warn("{} can't be made: {}; bans end with this process, and an"
                    + " upgrade forgets them: let this user write in TMPDIR", own, e.toString());
            return null;
        }
    }

    void start() {
        address.start();
    }

    void close() {
        address.close();
    }
}

package wallmoor.service;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.slf4j.LoggerFactory;
import wallmoor.bans.Bans;
import wallmoor.config.Launch;
import wallmoor.core.Clock;
import wallmoor.core.Gatherer;
import wallmoor.figures.Figures;
import wallmoor.operator.BanFile;
import wallmoor.operator.Controls;
import wallmoor.operator.OperatorAddress;

/** What operators may ask and have done: their address, on the calendar nodes' gatherer and its figures. */
final class Operations {
    private final OperatorAddress address;

    /** Makes it; {@code shared} is where bans are kept, or null. */
    Operations(Launch launch, Supplier<Launch> current, Clock clock, Gatherer gatherer, Figures figures,
            BooleanSupplier ready, Path shared) throws IOException {
        Consumer<String> log = LoggerFactory.getLogger(OperatorAddress.class)::info;
        address = new OperatorAddress(launch.admin(), launch.mostCallers(), new Controls() {
            @Override
            public boolean ready() {
                return ready.getAsBoolean();
            }

            @Override
            public String figures() {
                Gatherer.Known known = gatherer.known();
                return figures.text(current.get().inForce(), known.listed(), known.avoided());
            }

            @Override
            public boolean listed(String id) {
                return gatherer.listed(id);
            }

            @Override
            public void ban(String id, boolean out) {
                gatherer.ban(id, out);
            }
        }, new Bans(), shared == null ? null : new BanFile(shared, log), clock, log);
    }

    /**
     * The directory that the processes of this gatherer share: the platform's own, where it says so; null if there is
     * none.
     */
    static Path shared(Launch launch) {
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

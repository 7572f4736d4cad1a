package wallmoor.inventory;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wallmoor.config.ConfigException;
import wallmoor.decision.ShardLayout;
import wallmoor.endpoints.SourceEndpoint;
import wallmoor.endpoints.WatchEvent;
import wallmoor.http.Threads;
import wallmoor.sources.EndpointSource;

/**
 * Endpoints from a CSV or YAML file as configuration tools keep it. The file is polled; one that is wrong anywhere is
 * not applied at all, and the last good one stands.
 */
public final class InventorySource implements EndpointSource {
    private static final String NAME = "inventory";
    private static final int MAX_BYTES = 1 << 20;
    private static final long POLL_MILLIS = 350;

    private final Logger log = LoggerFactory.getLogger(InventorySource.class);
    private final Path file;
    private final InventoryParser parser;
    /** The bytes last parsed, and those that differ from them but were read once only. */
    private byte[] parsed;
    private byte[] pending;
    private boolean first = true;

    /**
     * Makes the source; nothing is read yet.
     *
     * @param zones the zones' names, by index
     * @param kinds the machine kinds' names, by index
     */
    public InventorySource(Path file, ShardLayout layout, List<String> zones, List<String> kinds) {
        this.file = file;
        parser = new InventoryParser(file, new HostMapper(file, layout.cells(), zones, kinds));
    }

    @Override
    public String name() {
        return NAME;
    }

    /**
     * What the file holds.
     *
     * @throws ConfigException if it is wrong anywhere: a program is not started on a faulty one
     */
    @Override
    public List<SourceEndpoint> initialEndpoints() {
        List<SourceEndpoint> endpoints = pollForChange();
        return endpoints == null ? List.of() : endpoints;
    }

    @Override
    public void start(Consumer<WatchEvent> listener) {
        Threads.start(NAME, () -> run(listener));
    }

    private void run(Consumer<WatchEvent> listener) {
        String lastFault = "";
        int reading = 1;
        while (true) {
            try {
                Thread.sleep(POLL_MILLIS);
                List<SourceEndpoint> endpoints = pollForChange();
                if (endpoints != null) {
                    reading++;
                    listener.accept(new WatchEvent.EndpointSnapshot(NAME, "reading " + reading, endpoints, true));
                    log.info("{}: {} hosts", file.getFileName(), endpoints.size());
                    lastFault = "";
                }
            } catch (ConfigException e) {
                if (!lastFault.equals(e.getMessage())) {
                    lastFault = e.getMessage();
                    log.error("inventory rejected, the last good one stands: {}", lastFault);
                    listener.accept(new WatchEvent.SourceFailure(NAME, lastFault));
                }
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /**
     * Reads the file again.
     *
     * @return its endpoints if it has changed since the last call and was read alike twice, else null
     * @throws ConfigException if it can't be read or is wrong anywhere; a fault in the same bytes is reported once
     */
    List<SourceEndpoint> pollForChange() {
        byte[] text = read();
        if (Arrays.equals(text, parsed)) {
            pending = null;
            return null;
        }
        if (!first && !Arrays.equals(text, pending)) {
            pending = text; // it may be half-written: hosts not yet in it must not seem gone
            return null;
        }
        parsed = text;
        List<SourceEndpoint> endpoints = parser.parse(text);
        first = false;
        return endpoints;
    }

    private byte[] read() {
        try {
            if (Files.size(file) > MAX_BYTES) {
                throw new ConfigException(NAME, file + " is larger than " + MAX_BYTES + " bytes");
            }
            return Files.readAllBytes(file);
        } catch (IOException e) {
            throw new ConfigException(NAME, file + " can't be read: " + e);
        }
    }
}

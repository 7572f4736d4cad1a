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
import wallmoor.sources.EndpointSource;
import wallmoor.threads.Threads;

/**
 * Reads endpoints from an inventory file in CSV or YAML, as configuration tools write it. The file is polled for
 * changes. If any part of it is invalid, none of it is applied and the last valid endpoints remain in use.
 */
public final class InventorySource implements EndpointSource {
    private static final String NAME = "inventory";
    private static final int MAX_BYTES = 1 << 20;
    private static final long POLL_MILLIS = 350;

    private final Logger log = LoggerFactory.getLogger(InventorySource.class);
    private final Path file;
    private final InventoryParser parser;
    /** The bytes that were last parsed, valid or not. */
    private byte[] parsed;
    /** Bytes that differ from the parsed ones and were read only once so far, or null. */
    private byte[] pending;
    /** Whether no file was parsed without an error so far. */
    private boolean first = true;

    /**
     * Creates the source; nothing is read yet.
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
     * Returns the endpoints in the file.
     *
     * @throws ConfigException if any part of the file is invalid: the program doesn't start with an invalid file
     */
    @Override
    public List<SourceEndpoint> initialEndpoints() {
        List<SourceEndpoint> endpoints = pollForChange();
        return endpoints == null ? List.of() : endpoints;
    }

    @Override
    public void start(Consumer<WatchEvent> listener) {
        Threads.startEssential(NAME, () -> run(listener));
    }

    private void run(Consumer<WatchEvent> listener) {
        String lastError = "";
        int reading = 1;
        while (true) {
            try {
                Thread.sleep(POLL_MILLIS);
                List<SourceEndpoint> endpoints = pollForChange();
                if (endpoints != null) {
                    reading++;
                    listener.accept(new WatchEvent.EndpointSnapshot(NAME, "reading " + reading, endpoints, true));
                    log.info("inventory applied: file={} hosts={}", file.getFileName(), endpoints.size());
                    lastError = "";
                }
            } catch (RuntimeException e) { // whatever the file holds, the thread must go on
                String error = e instanceof ConfigException ? e.getMessage() : e.toString();
                if (!lastError.equals(error)) {
                    lastError = error;
                    log.error("inventory rejected, last valid endpoints remain in use: error={}", lastError);
                    listener.accept(new WatchEvent.SourceFailure(NAME, lastError));
                }
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /**
     * Reads the file and checks whether it has changed.
     *
     * @return the endpoints if the file differs from the one last parsed and, once a valid file was read, had the same
     *         content in two calls in a row; else null
     * @throws ConfigException if the file can't be read or any part of it is invalid; invalid content is reported once
     */
    List<SourceEndpoint> pollForChange() {
        byte[] content = read();
        if (Arrays.equals(content, parsed)) {
            pending = null;
            return null;
        }
        if (!first && !Arrays.equals(content, pending)) {
            pending = content; // it may be partly written: hosts that are not yet in it must not count as removed
            return null;
        }
        parsed = content;
        try {
            List<SourceEndpoint> endpoints = parser.parse(content);
            first = false;
            return endpoints;
        } catch (OutOfMemoryError e) {
            throw new ConfigException(NAME, file + " does not fit into the heap: remove hosts or raise memory_mb");
        }
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

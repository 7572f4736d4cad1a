package wallmoor.edge;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.Map;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVParser;
import org.apache.commons.csv.CSVRecord;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wallmoor.config.ConfigException;
import wallmoor.threads.Threads;

/**
 * The registered devices, from a CSV file of ids and hashes of tokens. A token is ID.SECRET; {@code devices add} draws
 * secrets of 256 bits, so that an unsalted hash can't be reversed by search. The file is reloaded when it changes; a
 * file with any error is rejected as a whole, and the last valid one stays in use.
 */
public final class Devices {
    /** A removed device is refused after this interval and the time of a reload, well within 2 s. */
    private static final long RELOAD_INTERVAL_MILLIS = 400;
    private static final int MAX_FILE_BYTES = 32 << 20;
    private static final int HASH_BYTES = 32;
    private static final String KEY = "edge.devices";

    private final Logger log = LoggerFactory.getLogger(Devices.class);
    private final Path file;
    private volatile Map<String, byte[]> hashes;
    private byte[] lastContents;
    /** The file that did not fit into the heap, or null; it is read again only if it has changed. */
    private FileVersion tooLarge;

    /** Tells two contents of the file apart without reading it. */
    private record FileVersion(long size, FileTime modifiedAt) {
        static FileVersion of(Path file) throws IOException {
            return new FileVersion(Files.size(file), Files.getLastModifiedTime(file));
        }
    }

    /** Reads the file for the first time, and throws {@link ConfigException} if it is invalid. */
    public Devices(Path file) {
        this.file = file;
        hashes = read();
    }

    /** Starts to watch the file for changes. */
    public void start() {
        Threads.startEssential("devices", this::reloadLoop);
    }

    /** Returns the id of the device whose token this is, or null. */
    public String authenticate(String token) {
        int dot = token == null ? -1 : token.lastIndexOf('.');
        if (dot < 1) {
            return null;
        }
        String id = token.substring(0, dot);
        byte[] registered = hashes.get(id);
        byte[] presented = EdgeRequest.sha256(token.getBytes(StandardCharsets.UTF_8));
        // compared in constant time, also for an unknown id
        boolean hashesMatch = MessageDigest.isEqual(registered == null ? new byte[HASH_BYTES] : registered, presented);
        return registered != null && hashesMatch ? id : null;
    }

    /** Returns whether the device is registered. */
    public boolean isRegistered(String id) {
        return hashes.containsKey(id);
    }

    private void reloadLoop() {
        String lastError = "";
        while (true) {
            try {
                Thread.sleep(RELOAD_INTERVAL_MILLIS);
                Map<String, byte[]> reloaded = read();
                if (reloaded != null) {
                    hashes = reloaded;
                    log.info("devices file reloaded: devices={}", reloaded.size());
                    lastError = "";
                }
            } catch (ConfigException e) {
                if (!lastError.equals(e.getMessage())) {
                    lastError = e.getMessage();
                    log.error("devices file rejected, the last valid one stays in use: error={}", lastError);
                }
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** Reads the file; returns null if it has not changed. */
    private Map<String, byte[]> read() {
        try {
            FileVersion version = FileVersion.of(file);
            if (version.size() > MAX_FILE_BYTES) {
                throw new ConfigException(KEY, file + " is larger than " + MAX_FILE_BYTES + " bytes");
            }
            return version.equals(tooLarge) ? null : readWithinHeap(version);
        } catch (IOException e) {
            throw new ConfigException(KEY, file + " can't be read: " + e);
        }
    }

    private Map<String, byte[]> readWithinHeap(FileVersion version) throws IOException {
        try {
            tooLarge = null;
            return parseIfChanged(Files.readAllBytes(file));
        } catch (OutOfMemoryError e) {
            tooLarge = version;
            throw new ConfigException(KEY, file + " does not fit into the heap: remove devices or raise memory_mb");
        }
    }

    private Map<String, byte[]> parseIfChanged(byte[] contents) {
        if (Arrays.equals(contents, lastContents)) {
            return null;
        }
        Map<String, byte[]> parsed = parse(new String(contents, StandardCharsets.UTF_8));
        lastContents = contents;
        return parsed;
    }

    private Map<String, byte[]> parse(String text) {
        var parsed = new HashMap<String, byte[]>();
        CSVFormat format = CSVFormat.DEFAULT.builder().setHeader("device", "sha256").setSkipHeaderRecord(true)
                .setIgnoreSurroundingSpaces(true).setIgnoreEmptyLines(true).setCommentMarker('#').get();
        try (CSVParser rows = CSVParser.parse(text, format)) {
            for (CSVRecord row : rows) {
                String position = file.getFileName() + " line " + rows.getCurrentLineNumber() + ": ";
                if (!row.isConsistent() || !row.get("device").matches("[A-Za-z0-9_-]{1,64}")
                        || !row.get("sha256").matches("[0-9a-f]{64}")) {
                    throw new ConfigException(KEY, position + "is not DEVICE,SHA256");
                }
                if (parsed.put(row.get("device"), HexFormat.of().parseHex(row.get("sha256"))) != null) {
                    throw new ConfigException(KEY,
                            position + "device " + row.get("device") + " is listed twice");
                }
            }
        } catch (IOException | java.io.UncheckedIOException | IllegalArgumentException e) {
            throw new ConfigException(KEY, file.getFileName() + " is not valid CSV: " + e.getMessage());
        }
        return parsed;
    }
}

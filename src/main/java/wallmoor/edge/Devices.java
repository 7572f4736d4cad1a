package wallmoor.edge;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
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
import wallmoor.http.Threads;

/**
 * The devices that may ask, from a CSV file of ids and hashes of tokens. A token is ID.SECRET, its secret drawn by
 * `devices add` with 256 bits, so that a plain hash can't be searched. The file is read again when it changes; one that
 * is wrong anywhere is not taken, and the last good one stands.
 */
public final class Devices {
    /** A device that is removed is refused within this and the time of a reading: well within 2 s. */
    private static final long REREAD_MILLIS = 400;
    private static final int MOST_BYTES = 32 << 20;
    private static final int HASH = 32;

    private final Logger log = LoggerFactory.getLogger(Devices.class);
    private final Path file;
    private volatile Map<String, byte[]> hashes;
    private byte[] seen;

    /** Reads the file for the first time. */
    public Devices(Path file) {
        this.file = file;
        hashes = read();
    }

    /** Begins to look for changes of the file. */
    public void start() {
        Threads.start("devices", this::reread);
    }

    /** The device whose token this is, or null. */
    public String of(String token) {
        int dot = token == null ? -1 : token.lastIndexOf('.');
        if (dot < 1) {
            return null;
        }
        String id = token.substring(0, dot);
        byte[] held = hashes.get(id);
        byte[] given = EdgeRequest.sha256(token.getBytes(StandardCharsets.UTF_8));
        // compared in constant time, also for an id that there is not
        boolean same = MessageDigest.isEqual(held == null ? new byte[HASH] : held, given);
        return held != null && same ? id : null;
    }

    /** Whether the device may still ask. */
    public boolean known(String id) {
        return hashes.containsKey(id);
    }

    private void reread() {
        String told = "";
        while (true) {
            try {
                Thread.sleep(REREAD_MILLIS);
                Map<String, byte[]> news = read();
                if (news != null) {
                    hashes = news;
                    log.info("devices read again: {}", news.size());
                    told = "";
                }
            } catch (ConfigException e) {
                if (!told.equals(e.getMessage())) {
                    told = e.getMessage();
                    log.error("devices not taken, the last ones stand: {}", told);
                }
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** What the file holds, or null where it is as it was. */
    private Map<String, byte[]> read() {
        byte[] text;
        try {
            if (Files.size(file) > MOST_BYTES) {
                throw new ConfigException("edge.devices", file + " is larger than " + MOST_BYTES + " bytes");
            }
            text = Files.readAllBytes(file);
        } catch (IOException e) {
            throw new ConfigException("edge.devices", file + " can't be read: " + e);
        }
        if (Arrays.equals(text, seen)) {
            return null;
        }
        Map<String, byte[]> read = parse(new String(text, StandardCharsets.UTF_8));
        seen = text;
        return read;
    }

    private Map<String, byte[]> parse(String text) {
        var read = new HashMap<String, byte[]>();
        CSVFormat format = CSVFormat.DEFAULT.builder().setHeader("device", "sha256").setSkipHeaderRecord(true)
                .setIgnoreSurroundingSpaces(true).setIgnoreEmptyLines(true).setCommentMarker('#').get();
        try (CSVParser rows = CSVParser.parse(text, format)) {
            for (CSVRecord row : rows) {
                String at = file.getFileName() + " line " + rows.getCurrentLineNumber() + ": ";
                if (!row.isConsistent() || !row.get("device").matches("[A-Za-z0-9_-]{1,64}")
                        || !row.get("sha256").matches("[0-9a-f]{64}")) {
                    throw new ConfigException("edge.devices", at + "is not DEVICE,SHA256");
                }
                if (read.put(row.get("device"), HexFormat.of().parseHex(row.get("sha256"))) != null) {
                    throw new ConfigException("edge.devices", at + "names " + row.get("device") + " again");
                }
            }
        } catch (IOException | java.io.UncheckedIOException | IllegalArgumentException e) {
            throw new ConfigException("edge.devices", file.getFileName() + " is no CSV: " + e.getMessage());
        }
        return read;
    }
}

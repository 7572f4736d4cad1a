package wallmoor.upgrade;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The ids of queries that must not run twice, shared by the processes of a gatherer during an upgrade. Each process
 * appends the ids that it uses to a file of its own before it opens the query, and then reads what the others have
 * appended: of two processes that receive the same id, at least one sees the other's claim. While a process is alone,
 * nothing is written. If the directory is not usable, this is logged once and the process acts as if it were alone.
 */
public final class SharedQueryIds {
    private static final String PREFIX = "ids-";
    /** For how long ids of other processes are known after those have ended; their files are deleted after it. */
    private static final long RETENTION_MICROS = 60_000_000;

    private final Logger log = LoggerFactory.getLogger(SharedQueryIds.class);
    private final Path directory;
    private final Path own;
    private final LongSupplier clock;
    private final Supplier<List<String>> usedIds;
    private final Set<String> othersIds = new HashSet<>();
    /** How many bytes of each other process's file have been read. */
    private final Map<Path, Integer> readBytes = new HashMap<>();
    private boolean sharing;
    private boolean failed;
    /** When the last other process ended, by the clock. */
    private long aloneSince;

    /**
     * Creates it for a process that is alone.
     *
     * @param clock   microseconds of Unix time
     * @param usedIds the ids that this process has used recently
     */
    public SharedQueryIds(Path directory, LongSupplier clock, Supplier<List<String>> usedIds) {
        this.directory = directory;
        this.clock = clock;
        this.usedIds = usedIds;
        own = directory.resolve(PREFIX + clock.getAsLong() + "-" + ProcessHandle.current().pid());
    }

    /** Starts to share ids once there are several processes, and ends it when this one is alone. */
    public synchronized void setProcessCount(int count) {
        try {
            if (count > 1 && !sharing) {
                sharing = true;
                append(usedIds.get());
            } else if (count == 1 && sharing) {
                readOthers();
                sharing = false;
                aloneSince = clock.getAsLong();
                Files.deleteIfExists(own);
            }
        } catch (IOException e) {
            onFailure(e);
        }
    }

    /** Claims an id for this process. Returns false if another process has claimed it. */
    public synchronized boolean claim(String id) {
        try {
            if (sharing) {
                append(List.of(id));
                readOthers();
            } else if (!othersIds.isEmpty() && clock.getAsLong() - aloneSince > RETENTION_MICROS) {
                othersIds.clear();
                readBytes.clear();
            }
        } catch (IOException e) {
            onFailure(e);
        }
        return !othersIds.contains(id);
    }

    private void append(Collection<String> ids) throws IOException {
        var lines = new StringBuilder();
        ids.forEach(id -> lines.append(id).append('\n'));
        Files.write(own, lines.toString().getBytes(StandardCharsets.US_ASCII), StandardOpenOption.CREATE,
                StandardOpenOption.APPEND);
    }

    private void readOthers() throws IOException {
        try (DirectoryStream<Path> files = Files.newDirectoryStream(directory, PREFIX + "*")) {
            for (Path file : files) {
                if (!file.equals(own)) {
                    readOther(file);
                }
            }
        }
    }

    private void readOther(Path file) throws IOException {
        try {
            int from = readBytes.getOrDefault(file, 0);
            if (Files.size(file) > from) {
                readBytes.put(file, from + addLines(Files.readAllBytes(file), from));
            } else if (clock.getAsLong()
                    - Files.getLastModifiedTime(file).to(TimeUnit.MICROSECONDS) > RETENTION_MICROS) {
                Files.deleteIfExists(file); // its process has ended, or has used no id for as long
                readBytes.remove(file);
            }
        } catch (NoSuchFileException e) {
            // another process has deleted it
        }
    }

    /** Adds the complete lines from this index on; returns their length. */
    private int addLines(byte[] bytes, int from) {
        int lineStart = from;
        for (int i = from; i < bytes.length; i++) {
            if (bytes[i] == '\n') {
                othersIds.add(new String(bytes, lineStart, i - lineStart, StandardCharsets.US_ASCII));
                lineStart = i + 1;
            }
        }
        return lineStart - from;
    }

    private void onFailure(IOException e) {
        if (!failed) {
            failed = true;
            log.warn("upgrade: ids of queries not shared with the other process, an id that comes again there may run"
                    + " twice; grant this user write access: directory={} error={}", directory, e.toString());
        }
    }
}

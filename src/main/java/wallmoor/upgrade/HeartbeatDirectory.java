package wallmoor.upgrade;

import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * The heartbeats of a gatherer's processes as files of a shared directory: the name tells the order of starts, the time
 * when the process was last there, and the length what it claims and whether it drains. Contents are never read, so
 * that none can be torn. One caller at a time.
 */
final class HeartbeatDirectory {
    private static final String PREFIX = "process-";
    /** Digits of the start's time in a name, so that names are in the order of starts. */
    private static final int TIME_DIGITS = 20;
    /** A claim beyond this is none in practice, and no file is made that long. */
    private static final int MAX_CLAIM = 1 << 20;

    private final Path directory;
    private final Path own;

    /**
     * Makes it; nothing is written yet.
     *
     * @param startedAt microseconds of Unix time
     */
    HeartbeatDirectory(Path directory, long startedAt) {
        this.directory = directory;
        String time = Long.toString(startedAt);
        String padding = "0".repeat(Math.max(0, TIME_DIGITS - time.length()));
        // the process's number tells those of one microsecond apart
        own = directory.resolve(PREFIX + padding + time + "-" + ProcessHandle.current().pid());
    }

    /** The name of this process. */
    String ownName() {
        return own.getFileName().toString();
    }

    /** Leaves this process's heartbeat. */
    void write(long now, int claim, boolean draining) throws IOException {
        try (var file = new RandomAccessFile(own.toFile(), "rw")) {
            file.setLength(length(Math.min(MAX_CLAIM, claim), draining));
        }
        Files.setLastModifiedTime(own, FileTime.from(now, TimeUnit.MICROSECONDS));
    }

    /** Removes this process's heartbeat. */
    void delete() throws IOException {
        Files.deleteIfExists(own);
    }

    /** All heartbeats; files that have long been stale are removed. */
    List<ProcessHeartbeat> read(long now) throws IOException {
        var heartbeats = new ArrayList<ProcessHeartbeat>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(directory, PREFIX + "*")) {
            for (Path file : files) {
                try {
                    ProcessHeartbeat heartbeat = read(file);
                    heartbeats.add(heartbeat);
                    if (LiveProcesses.isStale(heartbeat, now) && !file.equals(own)) {
                        Files.deleteIfExists(file);
                    }
                } catch (NoSuchFileException e) {
                    // its process has just ended
                }
            }
        }
        return heartbeats;
    }

    private static ProcessHeartbeat read(Path file) throws IOException {
        String name = file.getFileName().toString();
        long at = Files.getLastModifiedTime(file).to(TimeUnit.MICROSECONDS);
        long length = Files.size(file);
        if (length == 0) {
            return new ProcessHeartbeat(name, at, ProcessHeartbeat.UNKNOWN_CLAIM, false);
        }
        int claim = (int) Math.min(MAX_CLAIM, (length - 1) / 2);
        return new ProcessHeartbeat(name, at, claim, length % 2 == 0);
    }

    /** The length that tells a claim: odd, and one more where the process drains. */
    private static long length(int claim, boolean draining) {
        return 1 + 2L * claim + (draining ? 1 : 0);
    }
}

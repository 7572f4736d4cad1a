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
 * The heartbeats of a gatherer's processes, as files in a shared directory. The file name sorts by the process's start
 * time, the modification time is the time of the last heartbeat, and the length encodes the process's claim and whether
 * it drains. The content is never read, so no reader sees a partial write. Not thread-safe.
 */
final class HeartbeatDirectory {
    private static final String PREFIX = "process-";
    /** The start time in a name is padded to this many digits, so that names sort by start time. */
    private static final int TIME_DIGITS = 20;
    /** The maximum encoded claim, which bounds the file's length; claims in practice are far lower. */
    private static final int MAX_CLAIM = 1 << 20;

    private final Path directory;
    private final Path own;

    /**
     * Creates it without writing anything.
     *
     * @param startedAt the start time of this process (microseconds of Unix time)
     */
    HeartbeatDirectory(Path directory, long startedAt) {
        this.directory = directory;
        String time = Long.toString(startedAt);
        String padding = "0".repeat(Math.max(0, TIME_DIGITS - time.length()));
        // the process id distinguishes processes that start in the same microsecond
        own = directory.resolve(PREFIX + padding + time + "-" + ProcessHandle.current().pid());
    }

    /** Returns the name of this process. */
    String ownName() {
        return own.getFileName().toString();
    }

    /** Writes this process's heartbeat. */
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

    /** Returns all heartbeats, and deletes stale files of other processes. */
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
                    // its process has just exited
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

    /** Returns the file length that encodes a claim: odd while the process serves, one more while it drains. */
    private static long length(int claim, boolean draining) {
        return 1 + 2L * claim + (draining ? 1 : 0);
    }
}

package wallmoor.consensus;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import wallmoor.rules.CorruptDataException;
import wallmoor.rules.RecordFile;

/**
 * A directory of durable files. A file is either replaced atomically or is a log to which records are appended. Data is
 * on disk when a write method that forces it returns. One process owns the directory, by a lock of the operating system
 * that ends with the process; only the owner may write, or read a log.
 */
final class DurableDirectory implements Closeable {
    private static final String LOCK_FILE = "lock";

    private final Path path;
    /** Open from the first attempt to own the directory until {@link #close}. */
    private FileChannel lockFile;
    private boolean isOwned;
    private boolean isClosed;

    /** Creates the directory if it does not exist. */
    DurableDirectory(Path path) throws IOException {
        this.path = Files.createDirectories(path);
    }

    /** Returns whether this process owns the directory, after acquiring the lock if it is free. */
    boolean tryOwn() throws IOException {
        if (isOwned || isClosed) {
            return isOwned;
        }
        if (lockFile == null) {
            lockFile = FileChannel.open(path.resolve(LOCK_FILE), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        }
        try {
            isOwned = lockFile.tryLock() != null;
        } catch (OverlappingFileLockException e) {
            isOwned = false; // another instance in this process owns it
        }
        return isOwned;
    }

    /** Acquires the lock, and holds it until {@link #close} or the end of the process. */
    void own() throws IOException {
        if (!tryOwn()) {
            throw new StoreInUseException(path);
        }
    }

    private void requireOwned() {
        if (!isOwned) {
            throw new IllegalStateException("not the owner of " + path);
        }
    }

    /** Gives the ownership up for good. */
    @Override
    public void close() throws IOException {
        isOwned = false;
        isClosed = true;
        if (lockFile != null) {
            lockFile.close();
        }
    }

    boolean has(String file) {
        return Files.exists(path.resolve(file));
    }

    /** Returns the records of an atomically replaced file; empty if the file does not exist. */
    List<byte[]> readRecords(String file) throws IOException, CorruptDataException {
        return has(file) ? RecordFile.decodeComplete(Files.readAllBytes(path.resolve(file))) : List.of();
    }

    /** Replaces a file atomically: after a crash it holds either the old or the new content. */
    void replaceFile(String file, List<byte[]> records) throws IOException {
        replaceBytes(file, RecordFile.encodeComplete(records));
    }

    private void replaceBytes(String file, byte[] bytes) throws IOException {
        requireOwned();
        Path temporary = path.resolve(file + ".new");
        try (var to = FileChannel.open(temporary, StandardOpenOption.CREATE,
                StandardOpenOption.TRUNCATE_EXISTING, StandardOpenOption.WRITE)) {
            write(to, bytes);
            to.force(true);
        }
        Files.move(temporary, path.resolve(file), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        try (var directory = FileChannel.open(path)) {
            directory.force(true); // makes the rename durable
        }
    }

    /** Returns the records of a log; truncates a torn tail in the file. */
    List<byte[]> readLog(String file) throws IOException, CorruptDataException {
        requireOwned();
        byte[] bytes = Files.readAllBytes(path.resolve(file));
        RecordFile.DecodedRecords decoded = RecordFile.decodeLog(bytes);
        if (decoded.validLength() < bytes.length) {
            try (var to = FileChannel.open(path.resolve(file), StandardOpenOption.WRITE)) {
                to.truncate(decoded.validLength());
                to.force(true);
            }
        }
        return decoded.records();
    }

    /**
     * Replaces a log by one with the given encoded records and opens it for appending. A channel of the previous log
     * must not be used any more.
     */
    FileChannel createLog(String file, List<byte[]> records) throws IOException {
        int size = records.stream().mapToInt(r -> r.length).sum();
        var content = ByteBuffer.allocate(size);
        records.forEach(content::put);
        replaceBytes(file, content.array());
        return openLog(file);
    }

    /** Opens an existing log for appending. */
    FileChannel openLog(String file) throws IOException {
        requireOwned();
        return FileChannel.open(path.resolve(file), StandardOpenOption.WRITE, StandardOpenOption.APPEND);
    }

    /** Writes all bytes, in as many calls as the channel needs. */
    static void write(FileChannel to, byte[] bytes) throws IOException {
        var from = ByteBuffer.wrap(bytes);
        while (from.hasRemaining()) {
            to.write(from);
        }
    }

    @Override
    public String toString() {
        return path.toString();
    }
}

package wallmoor.consensus;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import wallmoor.rules.CorruptDataException;
import wallmoor.rules.RecordFile;

/**
 * Files of one process: each is replaced atomically, or is a log that grows by records. What is said to be written is
 * on the disk.
 */
final class DurableDirectory {
    private final Path path;

    /** Makes it where there is none. */
    DurableDirectory(Path path) throws IOException {
        this.path = Files.createDirectories(path);
    }

    boolean has(String file) {
        return Files.exists(path.resolve(file));
    }

    /** The records of a file that is replaced; empty where there is none. */
    List<byte[]> readRecords(String file) throws IOException, CorruptDataException {
        return has(file) ? RecordFile.decodeComplete(Files.readAllBytes(path.resolve(file))) : List.of();
    }

    /** Replaces a file: after a crash it is the old one or the new one. */
    void replaceFile(String file, List<byte[]> records) throws IOException {
        replaceBytes(file, RecordFile.encodeComplete(records));
    }

    private void replaceBytes(String file, byte[] bytes) throws IOException {
        Path temporary = path.resolve(file + ".new");
        try (var to = FileChannel.open(temporary, StandardOpenOption.CREATE,
                StandardOpenOption.TRUNCATE_EXISTING, StandardOpenOption.WRITE)) {
            write(to, bytes);
            to.force(true);
        }
        Files.move(temporary, path.resolve(file), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        try (var directory = FileChannel.open(path)) {
            directory.force(true); // the new name is on the disk too
        }
    }

    /** The records of a log; a torn tail is cut off on the disk as well. */
    List<byte[]> readLog(String file) throws IOException, CorruptDataException {
        byte[] bytes = Files.readAllBytes(path.resolve(file));
        RecordFile.DecodedRecords read = RecordFile.decodeLog(bytes);
        if (read.validLength() < bytes.length) {
            try (var to = FileChannel.open(path.resolve(file), StandardOpenOption.WRITE)) {
                to.truncate(read.validLength());
                to.force(true);
            }
        }
        return read.records();
    }

    /** A log begun anew with these encoded records; whoever had the old one open must use this one. */
    FileChannel createLog(String file, List<byte[]> records) throws IOException {
        int size = records.stream().mapToInt(r -> r.length).sum();
        var all = ByteBuffer.allocate(size);
        records.forEach(all::put);
        replaceBytes(file, all.array());
        return openLog(file);
    }

    /** A log, opened to append to. */
    FileChannel openLog(String file) throws IOException {
        return FileChannel.open(path.resolve(file), StandardOpenOption.WRITE, StandardOpenOption.APPEND);
    }

    /** Writes all bytes. */
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

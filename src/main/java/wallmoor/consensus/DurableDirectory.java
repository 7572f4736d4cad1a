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
 * Files of one process: each is replaced as a whole, or grows by records; what is said to be written is on the disk.
 */
final class DurableDirectory {
    private final Path at;

    /** Makes it where there is none. */
    DurableDirectory(Path at) throws IOException {
        this.at = Files.createDirectories(at);
    }

    boolean has(String file) {
        return Files.exists(at.resolve(file));
    }

    /** The records of a file that is replaced as a whole; empty where there is none. */
    List<byte[]> readRecords(String file) throws IOException, CorruptDataException {
        return has(file) ? RecordFile.decodeComplete(Files.readAllBytes(at.resolve(file))) : List.of();
    }

    /** Replaces a file: after a crash it is the old one or the new one. */
    void replace(String file, List<byte[]> records) throws IOException {
        put(file, RecordFile.encodeComplete(records));
    }

    private void put(String file, byte[] bytes) throws IOException {
        Path beside = at.resolve(file + ".new");
        try (var to = FileChannel.open(beside, StandardOpenOption.CREATE,
                StandardOpenOption.TRUNCATE_EXISTING, StandardOpenOption.WRITE)) {
            write(to, bytes);
            to.force(true);
        }
        Files.move(beside, at.resolve(file), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        try (var itself = FileChannel.open(at)) {
            itself.force(true);
        }
    }

    /** The records of a file that grows; a torn tail is cut off on the disk as well. */
    List<byte[]> readLog(String file) throws IOException, CorruptDataException {
        byte[] bytes = Files.readAllBytes(at.resolve(file));
        RecordFile.DecodedRecords read = RecordFile.decodeLog(bytes);
        if (read.validLength() < bytes.length) {
            try (var to = FileChannel.open(at.resolve(file), StandardOpenOption.WRITE)) {
                to.truncate(read.validLength());
                to.force(true);
            }
        }
        return read.records();
    }

    /** A file that grows, begun anew with these records; whoever had the old one open must open this one. */
    FileChannel createLog(String file, List<byte[]> records) throws IOException {
        int size = records.stream().mapToInt(r -> r.length).sum();
        var all = ByteBuffer.allocate(size);
        records.forEach(all::put);
        put(file, all.array());
        return openLog(file);
    }

    /** A file that grows, at its end. */
    FileChannel openLog(String file) throws IOException {
        return FileChannel.open(at.resolve(file), StandardOpenOption.WRITE, StandardOpenOption.APPEND);
    }

    static void write(FileChannel to, byte[] bytes) throws IOException {
        var from = ByteBuffer.wrap(bytes);
        while (from.hasRemaining()) {
            to.write(from);
        }
    }

    @Override
    public String toString() {
        return at.toString();
    }
}

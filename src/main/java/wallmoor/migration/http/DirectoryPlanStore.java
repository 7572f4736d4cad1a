package wallmoor.migration.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.OverlappingFileLockException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Locale;
import java.util.Queue;
import java.util.stream.Stream;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wallmoor.migration.MigrationAction;
import wallmoor.migration.MigrationCoordinator.OperatorCommand;
import wallmoor.rules.CorruptDataException;
import wallmoor.rules.RecordFile;
import wallmoor.rules.RuleDocument;
import wallmoor.rules.RuleProposal;

/**
 * Keeps the document {@code plan} in a directory with a single writer, the holder of its lock file. A version is active
 * once it is on disk. An operator's pending command and the last progress report are files beside it. Files are
 * replaced atomically.
 */
public final class DirectoryPlanStore implements PlanStore {
    private static final Logger LOG = LoggerFactory.getLogger(DirectoryPlanStore.class);
    private static final String PLAN = "plan";
    private static final String LOCK = "lock";
    private static final String COMMAND = "wish";
    private static final String PROGRESS = "progress";
    private static final String NO_COMMAND = "";
    private static final String AUTHOR = "rebalance";

    private final Path directory;
    private final Queue<PlanUpdate> updates = new ArrayDeque<>();
    private FileChannel lock;
    private RuleDocument last;
    private boolean polled;

    /** A store in this directory; nothing is read yet. */
    public DirectoryPlanStore(Path directory) {
        this.directory = directory;
    }

    /** Becomes the single writer, and creates the directory if it is absent. */
    public void acquireLock() throws PlanStoreException {
        try {
            Files.createDirectories(directory);
            lock = FileChannel.open(directory.resolve(LOCK), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
            if (lock.tryLock() == null) {
                throw new PlanStoreException(
                        directory + ": another process carries this plan out; watch it by rebalance status");
            }
        } catch (IOException | OverlappingFileLockException e) {
            throw new PlanStoreException(directory + " can't be written: " + e + "; let this user write there", e);
        }
    }

    /** The active version; null where there is none. */
    public RuleDocument read() throws PlanStoreException {
        Path file = directory.resolve(PLAN);
        try {
            RuleDocument document = decode(Files.readAllBytes(file));
            if (!document.hasValidHash()) {
                throw new PlanStoreException(file + " is not what was written; put back a copy of it, or look with"
                        + " rebalance plan at what the nodes hold and start in another directory");
            }
            last = document;
            return document;
        } catch (NoSuchFileException e) {
            return null;
        } catch (CorruptDataException | IndexOutOfBoundsException | NumberFormatException e) {
            throw new PlanStoreException(file + " is torn or damaged; put back a copy of it", e);
        } catch (IOException e) {
            throw new PlanStoreException(file + " can't be read: " + e + "; make it readable for this user", e);
        }
    }

    private static byte[] encode(RuleDocument document) {
        List<byte[]> records = Stream.of(document.name(), Long.toString(document.version()),
                Long.toString(document.parentVersion()), document.parentHash(), document.author(), document.body(),
                document.fallback(), document.hash()).map(field -> field.getBytes(StandardCharsets.UTF_8)).toList();
        return RecordFile.encodeComplete(records);
    }

    private static RuleDocument decode(byte[] bytes) throws CorruptDataException {
        List<String> field = RecordFile.decodeComplete(bytes).stream()
                .map(record -> new String(record, StandardCharsets.UTF_8)).toList();
        return new RuleDocument(field.get(0), Long.parseLong(field.get(1)), Long.parseLong(field.get(2)), field.get(3),
                field.get(4), field.get(5), field.get(6), field.get(7));
    }

    /** Writes the next version, which is then active. Null where the parent is not the last version. */
    public RuleDocument propose(long parentVersion, String body, String fallback) throws PlanStoreException {
        if (parentVersion != (last == null ? 0 : last.version())) {
            return null;
        }
        String parentHash = last == null ? "" : last.hash();
        RuleDocument next = RuleDocument.of(new RuleProposal(PLAN, parentVersion, parentHash, AUTHOR, body, fallback),
                parentVersion + 1);
        replace(PLAN, encode(next), true);
        last = next;
        return next;
    }

    @Override
    public void propose(MigrationAction.ProposePlan proposal) throws PlanStoreException {
        RuleDocument active = propose(proposal.parentVersion(), proposal.plan().body(), proposal.plan().fallback());
        updates.add(active == null ? new PlanUpdate(proposal.parentVersion(), null)
                : new PlanUpdate(active.version(), proposal.plan()));
    }

    @Override
    public PlanUpdate poll() throws PlanStoreException {
        if (!polled) {
            polled = true;
            RuleDocument active = read();
            updates.add(new PlanUpdate(active.version(), PlanDocuments.decode(active)));
        }
        return updates.poll();
    }

    @Override
    public boolean isCurrent() {
        return true; // there is no other writer
    }

    @Override
    public OperatorCommand pendingCommand() throws PlanStoreException {
        String word;
        try {
            word = Files.readString(directory.resolve(COMMAND)).strip();
        } catch (IOException e) {
            return null;
        }
        if (word.equals(NO_COMMAND)) {
            return null;
        }
        try {
            return OperatorCommand.valueOf(word.toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            LOG.warn("unknown operator command discarded: command=\"{}\" file={}", word, directory.resolve(COMMAND));
            clearCommand();
            return null;
        }
    }

    @Override
    public void clearCommand() throws PlanStoreException {
        writeCommand(NO_COMMAND);
    }

    /** Leaves a command, for the present writer or the next one. */
    public void setCommand(OperatorCommand command) throws PlanStoreException {
        writeCommand(command.name().toLowerCase(Locale.ROOT));
    }

    private void writeCommand(String word) throws PlanStoreException {
        replace(COMMAND, word.getBytes(StandardCharsets.UTF_8), true);
    }

    /** The progress that was published last, a JSON object; null where there is none. */
    public String readProgress() {
        try {
            return Files.readString(directory.resolve(PROGRESS));
        } catch (IOException e) {
            return null;
        }
    }

    @Override
    public void publishProgress(String json) throws PlanStoreException {
        replace(PROGRESS, json.getBytes(StandardCharsets.UTF_8), false);
    }

    private void replace(String name, byte[] bytes, boolean durably) throws PlanStoreException {
        Path file = directory.resolve(name);
        try {
            Path temporary = directory.resolve(name + ".tmp");
            write(temporary, bytes, durably);
            Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE);
            if (durably) {
                try (FileChannel entries = FileChannel.open(directory)) {
                    entries.force(true); // else the old file may come back after a loss of power
                }
            }
        } catch (IOException e) {
            throw new PlanStoreException(
                    file + " can't be written: " + e + "; make room, or let this user write there", e);
        }
    }

    private static void write(Path file, byte[] bytes, boolean durably) throws IOException {
        try (FileChannel out = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE,
                StandardOpenOption.TRUNCATE_EXISTING)) {
            var remaining = ByteBuffer.wrap(bytes);
            while (remaining.hasRemaining()) {
                out.write(remaining);
            }
            if (durably) {
                out.force(true);
            }
        }
    }

    @Override
    public void close() {
        try {
            if (lock != null) {
                lock.close();
            }
        } catch (IOException e) {
            lock = null; // the lock ends with the process
        }
    }
}

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
 * Stores the document {@code plan} in a directory with a single writer, the holder of its lock file. A version is
 * active once it is on disk. An operator's pending command and the last progress report are files beside it. Files are
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
    private RuleDocument lastVersion;
    private boolean hasPolled;

    /** Creates a store in this directory; reads nothing yet. */
    public DirectoryPlanStore(Path directory) {
        this.directory = directory;
    }

    /** Acquires the lock of the single writer; creates the directory if it is absent. */
    public void acquireLock() throws PlanStoreException {
        try {
            Files.createDirectories(directory);
            lock = FileChannel.open(directory.resolve(LOCK), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
            if (lock.tryLock() == null) {
                throw new PlanStoreException(
                        directory + ": another process carries this plan out; watch it by rebalance status");
            }
        } catch (IOException | OverlappingFileLockException e) {
            throw new PlanStoreException(directory + " cannot be written: " + e + "; give this user write permission",
                    e);
        }
    }

    /** Reads the active version; null where there is none. */
    public RuleDocument read() throws PlanStoreException {
        Path file = directory.resolve(PLAN);
        try {
            RuleDocument document = decode(Files.readAllBytes(file));
            if (!document.hasValidHash()) {
                throw new PlanStoreException(file + " does not match its hash; put back a copy of it, or list the"
                        + " nodes' replicas with rebalance plan and start in another directory");
            }
            lastVersion = document;
            return document;
        } catch (NoSuchFileException e) {
            return null;
        } catch (CorruptDataException | IndexOutOfBoundsException | NumberFormatException e) {
            throw new PlanStoreException(file + " is incomplete or damaged; put back a copy of it", e);
        } catch (IOException e) {
            throw new PlanStoreException(file + " cannot be read: " + e + "; give this user read permission", e);
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

    /** Writes the next version, which is then active. Returns null where the parent is not the last version. */
    public RuleDocument propose(long parentVersion, String body, String fallback) throws PlanStoreException {
        if (parentVersion != (lastVersion == null ? 0 : lastVersion.version())) {
            return null;
        }
        String parentHash = lastVersion == null ? "" : lastVersion.hash();
        RuleDocument next = RuleDocument.of(new RuleProposal(PLAN, parentVersion, parentHash, AUTHOR, body, fallback),
                parentVersion + 1);
        replace(PLAN, encode(next), true);
        lastVersion = next;
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
        if (!hasPolled) {
            hasPolled = true;
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
        String commandName;
        try {
            commandName = Files.readString(directory.resolve(COMMAND)).strip();
        } catch (IOException e) {
            return null;
        }
        if (commandName.equals(NO_COMMAND)) {
            return null;
        }
        try {
            return OperatorCommand.valueOf(commandName.toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            LOG.warn("unknown operator command discarded: command=\"{}\" file={}", commandName,
                    directory.resolve(COMMAND));
            clearCommand();
            return null;
        }
    }

    @Override
    public void clearCommand() throws PlanStoreException {
        writeCommand(NO_COMMAND);
    }

    /** Stores a command for the present writer, or for the next one. */
    public void setCommand(OperatorCommand command) throws PlanStoreException {
        writeCommand(command.name().toLowerCase(Locale.ROOT));
    }

    private void writeCommand(String commandName) throws PlanStoreException {
        replace(COMMAND, commandName.getBytes(StandardCharsets.UTF_8), true);
    }

    /** Reads the last published progress, a JSON object; null where there is none. */
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

    private void replace(String name, byte[] bytes, boolean isDurable) throws PlanStoreException {
        Path file = directory.resolve(name);
        try {
            Path temporary = directory.resolve(name + ".tmp");
            write(temporary, bytes, isDurable);
            Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE);
            if (isDurable) {
                try (FileChannel entries = FileChannel.open(directory)) {
                    entries.force(true); // otherwise the old file may reappear after a power failure
                }
            }
        } catch (IOException e) {
            throw new PlanStoreException(
                    file + " cannot be written: " + e + "; free disk space, or give this user write permission", e);
        }
    }

    private static void write(Path file, byte[] bytes, boolean isDurable) throws IOException {
        try (FileChannel out = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE,
                StandardOpenOption.TRUNCATE_EXISTING)) {
            var remaining = ByteBuffer.wrap(bytes);
            while (remaining.hasRemaining()) {
                out.write(remaining);
            }
            if (isDurable) {
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
            lock = null; // the lock is released when the process exits
        }
    }
}

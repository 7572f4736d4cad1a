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
import java.util.Queue;
import java.util.stream.Stream;
import wallmoor.migration.MigrationAction;
import wallmoor.rules.CorruptDataException;
import wallmoor.rules.RecordFile;
import wallmoor.rules.RuleDocument;
import wallmoor.rules.RuleProposal;

/**
 * The document {@code plan} in a directory, with one author: who has the lock. A version acts once it is on the disk,
 * as nobody else goes by another. Beside it stand what an operator wishes, and how far it has come. Where several agree
 * on the plan, this is what the agreement takes the place of.
 */
public final class DirectoryPlanStore implements PlanStore {
    private static final String NAME = "plan";
    private static final String AUTHOR = "rebalance";

    private final Path directory;
    private final Queue<PlanUpdate> news = new ArrayDeque<>();
    private FileChannel lock;
    private RuleDocument last;
    private boolean begun;

    /** Of this directory; nothing is read yet. */
    public DirectoryPlanStore(Path directory) {
        this.directory = directory;
    }

    /** Becomes the one author, and makes the directory if there is none. */
    public void acquireLock() throws PlanStoreException {
        try {
            Files.createDirectories(directory);
            lock = FileChannel.open(directory.resolve("lock"), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
            if (lock.tryLock() == null) {
                throw new PlanStoreException(
                        directory + ": another process carries this plan out; watch it by rebalance status", null);
            }
        } catch (IOException | OverlappingFileLockException e) {
            throw new PlanStoreException(directory + " can't be written: " + e + "; let this user write there", e);
        }
    }

    /** The version that acts; null where there is none. */
    public RuleDocument read() throws PlanStoreException {
        Path file = directory.resolve(NAME);
        try {
            List<String> f = RecordFile.decodeComplete(Files.readAllBytes(file)).stream()
                    .map(b -> new String(b, StandardCharsets.UTF_8)).toList();
            var document = new RuleDocument(f.get(0), Long.parseLong(f.get(1)), Long.parseLong(f.get(2)), f.get(3),
                    f.get(4), f.get(5),
                    f.get(6), f.get(7));
            if (!document.hasValidHash()) {
                throw new PlanStoreException(
                        file + " is not what was written; put back a copy of it, or look with rebalance plan"
                                + " at what the nodes hold and start in another directory",
                        null);
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

    /** The next version, after this one or none acts. Null where the parent is not the last: another one won. */
    public RuleDocument propose(long parent, String body, String fallback) throws PlanStoreException {
        if (parent != (last == null ? 0 : last.version())) {
            return null;
        }
        RuleDocument next = RuleDocument.of(
                new RuleProposal(NAME, parent, last == null ? "" : last.hash(), AUTHOR, body, fallback),
                parent + 1);
        List<byte[]> records = Stream
                .of(next.name(), "" + next.version(), "" + next.parentVersion(), next.parentHash(), next.author(),
                        next.body(), next.fallback(), next.hash())
                .map(t -> t.getBytes(StandardCharsets.UTF_8)).toList();
        replace(NAME, RecordFile.encodeComplete(records), true);
        last = next;
        return next;
    }

    @Override
    public void propose(MigrationAction.ProposePlan next) throws PlanStoreException {
        RuleDocument acts = propose(next.parentVersion(), next.plan().body(), next.plan().fallback());
        news.add(acts == null ? new PlanUpdate(next.parentVersion(), null)
                : new PlanUpdate(acts.version(), next.plan()));
    }

    @Override
    public PlanUpdate poll() throws PlanStoreException {
        if (!begun) {
            begun = true;
            RuleDocument acts = read();
            news.add(new PlanUpdate(acts.version(), MigrationRunner.decode(acts)));
        }
        return news.poll();
    }

    @Override
    public boolean isCurrent() {
        return true; // nobody else writes there
    }

    @Override
    public void clearCommand() throws PlanStoreException {
        wish("");
    }

    /** What an operator wishes: a word, or an empty text. */
    @Override
    public String wish() {
        try {
            return Files.readString(directory.resolve("wish")).strip();
        } catch (IOException e) {
            return "";
        }
    }

    /** Sets the wish; an empty text takes it back. It is heeded by who carries out, now or when one begins. */
    public void wish(String word) throws PlanStoreException {
        replace("wish", word.getBytes(StandardCharsets.UTF_8), true);
    }

    /** How far it has come, as who carries out said last; null where nobody has. */
    public String progress() {
        try {
            return Files.readString(directory.resolve("progress"));
        } catch (IOException e) {
            return null;
        }
    }

    @Override
    public void progress(String json) throws PlanStoreException {
        replace("progress", json.getBytes(StandardCharsets.UTF_8), false);
    }

    private void replace(String name, byte[] bytes, boolean sync) throws PlanStoreException {
        Path fresh = directory.resolve(name + ".tmp");
        try {
            try (var out = FileChannel.open(fresh, StandardOpenOption.CREATE, StandardOpenOption.WRITE,
                    StandardOpenOption.TRUNCATE_EXISTING)) {
                var all = ByteBuffer.wrap(bytes);
                while (all.hasRemaining()) {
                    out.write(all);
                }
                if (sync) {
                    out.force(true);
                }
            }
            Files.move(fresh, directory.resolve(name), StandardCopyOption.ATOMIC_MOVE);
            if (sync) {
                try (var dir = FileChannel.open(directory)) {
                    dir.force(true); // else the old name may come back after a loss of power
                }
            }
        } catch (IOException e) {
            throw new PlanStoreException(
                    directory.resolve(name) + " can't be written: " + e + "; make room, or let this user write"
                            + " there",
                    e);
        }
    }

    @Override
    public void close() {
        try {
            if (lock != null) {
                lock.close();
            }
        } catch (IOException e) {
            lock = null; // the lock goes with the process
        }
    }
}

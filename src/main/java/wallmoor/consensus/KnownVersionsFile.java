package wallmoor.consensus;

import java.io.IOException;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wallmoor.rules.CorruptDataException;
import wallmoor.rules.LeaseMessageCodec;
import wallmoor.rules.VersionChain;

/**
 * The versions that this gatherer knew last, kept for their fallbacks after a restart. A file that is late or lost
 * costs a fallback and breaks no promise, so faults are logged and nothing waits for it. Control thread.
 */
final class KnownVersionsFile {
    private static final Logger LOG = LoggerFactory.getLogger(KnownVersionsFile.class);
    private static final String FILE = "known";

    private final DurableDirectory directory;
    private List<VersionChain> saved = List.of();
    private boolean writable = true;

    /** {@code directory} is null where nothing is kept. */
    KnownVersionsFile(DurableDirectory directory) {
        this.directory = directory;
    }

    /** What was saved; nothing where the file is absent or corrupt. */
    List<VersionChain> load() throws IOException {
        if (directory == null) {
            return List.of();
        }
        try {
            return LeaseMessageCodec.decodeKnownVersions(directory.readRecords(FILE));
        } catch (CorruptDataException e) {
            LOG.warn("rules: in {}, file {}: {}; no fallback is known until the voters are heard", directory, FILE,
                    e.getMessage());
            return List.of();
        }
    }

    /** These stand in the file already, or need not. */
    void markSaved(List<VersionChain> known) {
        saved = known;
    }

    /** Saves them where they are others than the last. */
    void save(List<VersionChain> known) {
        if (directory == null || known.equals(saved)) {
            return;
        }
        saved = known;
        try {
            directory.replaceFile(FILE, LeaseMessageCodec.encodeKnownVersions(known));
            writable = true;
        } catch (IOException e) {
            if (writable) {
                LOG.warn("rules: what is known can't be kept in {}, after a restart no fallback is known: {}",
                        directory, e.toString());
            }
            writable = false;
        }
    }
}

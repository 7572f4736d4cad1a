package wallmoor.consensus;

import java.io.IOException;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wallmoor.rules.CorruptDataException;
import wallmoor.rules.LeaseMessageCodec;
import wallmoor.rules.VersionChain;

/**
 * The file with the versions that this gatherer knew last, from which it takes fallbacks after a restart. A late or
 * lost file costs a fallback but violates no guarantee, so errors are logged and nothing waits for the file. While
 * another process owns the directory, as during an upgrade, this one doesn't write. Runs on the control thread.
 */
final class KnownVersionsFile {
    private static final Logger LOG = LoggerFactory.getLogger(KnownVersionsFile.class);
    private static final String FILE = "known";

    private final DurableDirectory directory;
    private List<VersionChain> saved = List.of();
    private boolean writable = true;

    /**
     * Creates the file access.
     *
     * @param directory null if nothing is stored
     */
    KnownVersionsFile(DurableDirectory directory) {
        this.directory = directory;
    }

    /** Returns the saved versions; empty if the file is missing or corrupt. */
    List<VersionChain> load() throws IOException {
        if (directory == null) {
            return List.of();
        }
        try {
            return LeaseMessageCodec.decodeKnownVersions(directory.readRecords(FILE));
        } catch (CorruptDataException e) {
            LOG.warn("rules: known versions unreadable: directory={} file={} error={}; "
                    + "no fallback is known until a voter responds", directory, FILE, e.getMessage());
            return List.of();
        }
    }

    /** Marks versions as saved: {@link #save} does not write them again. */
    void markSaved(List<VersionChain> known) {
        saved = known;
    }

    /** Saves the versions if they differ from those saved last. */
    void save(List<VersionChain> known) {
        if (directory == null || known.equals(saved)) {
            return;
        }
        try {
            if (!directory.tryOwn()) {
                return;
            }
            saved = known;
            directory.replaceFile(FILE, LeaseMessageCodec.encodeKnownVersions(known));
            writable = true;
        } catch (IOException e) {
            if (writable) {
                LOG.warn("rules: known versions not saved: directory={} error={}; "
                        + "after a restart no fallback is known", directory, e.toString());
            }
            writable = false;
        }
    }
}

package wallmoor.rules;

import java.util.List;

/**
 * The versions of one document that hold: of the one that acts all, of those after it what they take away.
 *
 * @param activeVersion      the number of the one that acts; 0 where none does yet
 * @param latestVersion        the number of the last one accepted
 * @param documents all of them, the oldest first; or none, for one who knows them
 */
public record VersionChain(String name, long activeVersion, long latestVersion, List<RuleDocument> documents) {
    /** Keeps a copy that nobody changes. */
    public VersionChain {
        documents = List.copyOf(documents);
    }

    /** The same for one who has the documents. */
    VersionChain withoutDocuments() {
        return new VersionChain(name, activeVersion, latestVersion, List.of());
    }

    /** Whether each document is the parent of the next, none is altered, and none is missing. */
    boolean isLinked() {
        RuleDocument before = null;
        for (RuleDocument d : documents) {
            if (!d.name().equals(name) || !d.hasValidHash() || before != null && (d.parentVersion() != before.version()
                    || !d.parentHash().equals(before.hash()))) {
                return false;
            }
            before = d;
        }
        return before == null || before.version() == latestVersion
                && (activeVersion == 0 ? documents.get(0).parentVersion() == 0
                        : documents.get(0).version() == activeVersion);
    }
}

package wallmoor.rules;

import java.util.List;

/**
 * The versions of one document that are in effect: the active one and the versions accepted after it.
 *
 * @param name          name of the document
 * @param activeVersion number of the active version; 0 if no version is active yet
 * @param latestVersion number of the latest accepted version
 * @param documents     the versions, the oldest first; empty for a receiver that knows them
 */
public record VersionChain(String name, long activeVersion, long latestVersion, List<RuleDocument> documents) {
    /** Copies the list. */
    public VersionChain {
        documents = List.copyOf(documents);
    }

    /** Returns the same chain for a receiver that knows the documents. */
    VersionChain withoutDocuments() {
        return new VersionChain(name, activeVersion, latestVersion, List.of());
    }

    /** Returns whether each version is the parent of the next one, and no version is altered or missing. */
    boolean isLinked() {
        RuleDocument previous = null;
        for (RuleDocument document : documents) {
            if (!document.name().equals(name) || !document.hasValidHash()
                    || (previous != null && !isParent(previous, document))) {
                return false;
            }
            previous = document;
        }
        return previous == null || (previous.version() == latestVersion && startsAtActiveVersion());
    }

    private static boolean isParent(RuleDocument parent, RuleDocument child) {
        return child.parentVersion() == parent.version() && child.parentHash().equals(parent.hash());
    }

    private boolean startsAtActiveVersion() {
        RuleDocument first = documents.get(0);
        return activeVersion == 0 ? first.parentVersion() == 0 : first.version() == activeVersion;
    }
}

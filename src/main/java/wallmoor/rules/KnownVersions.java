package wallmoor.rules;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import wallmoor.rules.LeaseMessage.KnownVersion;

/**
 * The accepted versions of each document that a lease holder knows, from the active one on, and which one is active.
 * Versions from a leader are added only if they continue the known ones.
 */
final class KnownVersions {
    /**
     * The changes that a leader's chains made.
     *
     * @param hasNewVersion whether a version was added
     * @param hasChanged    whether a version was added or activated
     */
    record Learned(boolean hasNewVersion, boolean hasChanged) {}

    private final Map<String, TreeMap<Long, RuleDocument>> versionsByName = new TreeMap<>();
    private final Map<String, Long> activeVersions = new HashMap<>();

    /** Adds chains that continue the known versions; skips one that is altered, incomplete or of another history. */
    Learned learn(List<VersionChain> chains) {
        boolean hasNewVersion = false;
        boolean hasActivated = false;
        for (VersionChain chain : chains) {
            hasNewVersion |= addDocuments(chain);
            hasActivated |= activate(chain);
            versions(chain.name()).headMap(activeVersion(chain.name()), false).clear();
        }
        return new Learned(hasNewVersion, hasNewVersion || hasActivated);
    }

    private boolean addDocuments(VersionChain chain) {
        RuleDocument latest = latest(chain.name());
        boolean isNewer = chain.latestVersion() > (latest == null ? 0 : latest.version());
        if (chain.documents().isEmpty() || !isNewer || !chain.isLinked() || !continuesKnown(chain)) {
            return false;
        }
        TreeMap<Long, RuleDocument> versions = versionsByName.computeIfAbsent(chain.name(), name -> new TreeMap<>());
        chain.documents().forEach(document -> versions.put(document.version(), document));
        return true;
    }

    private boolean activate(VersionChain chain) {
        if (!versions(chain.name()).containsKey(chain.activeVersion())
                || chain.activeVersion() <= activeVersion(chain.name())) {
            return false;
        }
        activeVersions.put(chain.name(), chain.activeVersion());
        return true;
    }

    /**
     * Returns whether the chain agrees with all known versions, and either its active version is not older than the
     * first known version or it contains that version.
     */
    private boolean continuesKnown(VersionChain chain) {
        NavigableMap<Long, RuleDocument> versions = versions(chain.name());
        boolean isConsistent = chain.documents().stream()
                .allMatch(document -> versions.getOrDefault(document.version(), document).equals(document));
        return isConsistent && (versions.isEmpty() || chain.activeVersion() >= versions.firstKey()
                || chain.documents().contains(versions.firstEntry().getValue()));
    }

    private NavigableMap<Long, RuleDocument> versions(String name) {
        return versionsByName.getOrDefault(name, new TreeMap<>());
    }

    /** Returns the names of all documents with a known version, sorted. */
    Collection<String> names() {
        return versionsByName.keySet();
    }

    /** Returns the latest known version, or null. */
    RuleDocument latest(String name) {
        TreeMap<Long, RuleDocument> versions = versionsByName.get(name);
        return versions == null ? null : versions.lastEntry().getValue();
    }

    /** Returns the number of the active version, or 0 if there is none. */
    long activeVersion(String name) {
        return activeVersions.getOrDefault(name, 0L);
    }

    /** Returns the chain of a document with a known version. */
    VersionChain chain(String name) {
        TreeMap<Long, RuleDocument> versions = versionsByName.get(name);
        return new VersionChain(name, activeVersion(name), versions.lastKey(), List.copyOf(versions.values()));
    }

    /** Returns the chains of all documents, sorted by name. */
    List<VersionChain> chains() {
        return names().stream().map(this::chain).toList();
    }

    /** Returns the number and hash of the latest version of each document, for a lease request. */
    Map<String, KnownVersion> latestOfEach() {
        var latest = new HashMap<String, KnownVersion>();
        for (String name : names()) {
            RuleDocument document = latest(name);
            latest.put(name, new KnownVersion(document.version(), document.hash()));
        }
        return latest;
    }
}

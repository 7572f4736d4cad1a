package wallmoor.rules;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import wallmoor.rules.LeaseMessage.KnownVersion;

/**
 * The accepted versions of each document that a lease holder knows, from the active one on, and which is active. What
 * comes from a leader is taken only where it continues what is known.
 */
final class KnownVersions {
    /**
     * What a leader's chains changed.
     *
     * @param newVersion whether a version is known now that was not
     * @param changed    whether that, or a version has become active
     */
    record Learned(boolean newVersion, boolean changed) {}

    private final Map<String, TreeMap<Long, RuleDocument>> versionsByName = new TreeMap<>();
    private final Map<String, Long> activeVersions = new HashMap<>();

    /** Takes what continues the known versions; an altered or incomplete chain, or of another history, is skipped. */
    Learned learn(List<VersionChain> chains) {
        boolean newVersion = false;
        boolean activated = false;
        for (VersionChain chain : chains) {
            newVersion |= addDocuments(chain);
            activated |= activate(chain);
            versions(chain.name()).headMap(activeVersion(chain.name()), false).clear();
        }
        return new Learned(newVersion, newVersion || activated);
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

    /** Returns whether no known version contradicts the chain, and the two overlap or the chain is a later part. */
    private boolean continuesKnown(VersionChain chain) {
        NavigableMap<Long, RuleDocument> versions = versions(chain.name());
        boolean agrees = chain.documents().stream()
                .allMatch(document -> versions.getOrDefault(document.version(), document).equals(document));
        return agrees && (versions.isEmpty() || chain.activeVersion() >= versions.firstKey()
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

    /** Returns the active version's number, or 0. */
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

    /** Returns number and hash of each document's latest version, for a lease request. */
    Map<String, KnownVersion> latestOfEach() {
        var latest = new HashMap<String, KnownVersion>();
        for (String name : names()) {
            RuleDocument document = latest(name);
            latest.put(name, new KnownVersion(document.version(), document.hash()));
        }
        return latest;
    }
}

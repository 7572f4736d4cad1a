package wallmoor.agreement;

import java.util.List;
import java.util.Map;
import wallmoor.versions.Act;
import wallmoor.versions.Chain;
import wallmoor.versions.Snapshot;

/**
 * What a gatherer holds of what is agreed on, as it was published last. Immutable.
 *
 * @param known      the versions that hold
 * @param since      wall clock, milliseconds, since when a document is gone by as it is
 * @param leader     who gave the last lease, or who is asked
 * @param voter      of a voter, its state; else empty
 * @param denied     why no lease was given when last asked, or empty
 * @param unreadable documents that this program can't read, and why
 */
public record Seen(Snapshot snapshot, List<Chain> known, Map<String, Since> since, String leader, String voter,
        String denied,
        Map<String, String> unreadable) {

    /** How a document is gone by, and since when. */
    public record Since(Act.Basis basis, long from, long to, long at) {}

    /** Keeps copies that nobody changes. */
    public Seen {
        known = List.copyOf(known);
        since = Map.copyOf(since);
        unreadable = Map.copyOf(unreadable);
    }

    static Seen of(Snapshot snapshot, List<Chain> known) {
        return new Seen(snapshot, known, Map.of(), "", "", "", Map.of());
    }
}

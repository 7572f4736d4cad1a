package wallmoor.summaries;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * An index of summaries by slot, for looking up at once which of them admit a match. The candidates that the index
 * finds are then checked against the summaries themselves, so that the result equals theirs.
 */
final class SummaryIndex {
    /** Maximum number of indexed properties; a condition on another one is checked against each summary. */
    private static final int MAX_PROPERTIES = 256;

    private final List<Summary> summaries = new ArrayList<>();
    private final BitSet occupied = new BitSet();
    private final Map<String, PropertyIndex> properties = new HashMap<>();
    private final SpatialGridIndex locations = new SpatialGridIndex();
    private long[] earliest = new long[0];
    private long[] latest = new long[0];

    /** Adds or replaces the summary of a slot. */
    void put(int slot, Summary s) {
        while (summaries.size() <= slot) {
            summaries.add(null);
        }
        if (slot >= earliest.length) {
            earliest = Arrays.copyOf(earliest, slot + 64 + slot / 2);
            latest = Arrays.copyOf(latest, earliest.length);
        }
        Summary old = summaries.get(slot);
        if (old != null) {
            locations.remove(slot, old.boxes());
            old.properties().forEach((name, p) -> {
                // a filter that was only widened keeps its column
                if (properties.containsKey(name) && !isWidened(old, s, name)) {
                    properties.get(name).remove(slot);
                }
            });
        }
        summaries.set(slot, s);
        occupied.set(slot);
        locations.put(slot, s);
        earliest[slot] = s.hasUntimedRows() ? Long.MIN_VALUE : s.spans().stream().mapToLong(TimeSpan::from).min()
                .orElse(Long.MAX_VALUE);
        latest[slot] = s.hasUntimedRows() ? Long.MAX_VALUE
                : s.spans().stream().mapToLong(TimeSpan::to).max().orElse(Long.MIN_VALUE);
        s.properties().forEach((name, p) -> {
            if (!properties.containsKey(name) && properties.size() >= MAX_PROPERTIES) {
                properties.values().removeIf(PropertyIndex::isEmpty);
            }
            if (properties.containsKey(name) || properties.size() < MAX_PROPERTIES) {
                properties.computeIfAbsent(name, n -> new PropertyIndex()).put(slot, p);
            }
        });
    }

    private static boolean isWidened(Summary old, Summary widened, String name) {
        return old.epoch() == widened.epoch() && widened.version() > old.version()
                && widened.properties().containsKey(name);
    }

    void remove(int slot) {
        Summary old = slot < summaries.size() ? summaries.set(slot, null) : null;
        if (old != null) {
            occupied.clear(slot);
            locations.remove(slot, old.boxes());
            old.properties().keySet().stream().map(properties::get).filter(p -> p != null).forEach(p -> p.remove(slot));
        }
    }

    /** Returns the summary of a slot, or null. */
    Summary get(int slot) {
        return slot < summaries.size() ? summaries.get(slot) : null;
    }

    /** Returns the slots that have a summary. */
    BitSet occupiedSlots() {
        return occupied;
    }

    /** Returns the slots whose summary admits a match. */
    BitSet matchingSlots(Conditions c) {
        var candidates = (BitSet) occupied.clone();
        for (Condition p : c.properties()) {
            PropertyIndex index = properties.get(p.property());
            if (index != null && p instanceof Condition.Equal e && !e.key().isEmpty()) {
                index.retainMatches(e, candidates);
            }
        }
        if (c.box() != null) {
            locations.retainMatches(c.box().box(), candidates);
        }
        for (Condition p : c.properties()) {
            PropertyIndex index = properties.get(p.property());
            if (index != null && p instanceof Condition.Range r && r.isNumeric()) {
                index.retainMatches(r, candidates);
            }
        }
        for (int slot = candidates.nextSetBit(0); slot >= 0; slot = candidates.nextSetBit(slot + 1)) {
            if ((c.time() != null && (earliest[slot] > c.time().to() || latest[slot] < c.time().from()))
                    || summaries.get(slot).exclusionReason(c) != null) {
                candidates.clear(slot);
            }
        }
        return candidates;
    }

    /** Returns the approximate memory of the index in bytes, without the summaries. */
    long bytes() {
        return 24L * earliest.length + locations.bytes()
                + properties.values().stream().mapToLong(PropertyIndex::bytes).sum();
    }
}

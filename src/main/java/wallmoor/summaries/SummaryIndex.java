package wallmoor.summaries;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Summaries by slot, laid out so that one look-up tells which of all could match. What the layout leaves is then tried
 * against the summaries themselves, so an answer is never looser or stricter than theirs.
 */
final class SummaryIndex {
    /** Properties laid out; a condition on another one is tried against each summary. */
    private static final int MOST_PROPERTIES = 256;

    private final List<Summary> held = new ArrayList<>();
    private final BitSet filled = new BitSet();
    private final Map<String, PropertyIndex> properties = new HashMap<>();
    private final SpatialGridIndex places = new SpatialGridIndex();
    private long[] from = new long[0];
    private long[] to = new long[0];

    /** Puts a summary, new or in the place of one. */
    void put(int slot, Summary s) {
        while (held.size() <= slot) {
            held.add(null);
        }
        if (slot >= from.length) {
            from = Arrays.copyOf(from, slot + 64 + slot / 2);
            to = Arrays.copyOf(to, from.length);
        }
        Summary was = held.get(slot);
        if (was != null) {
            places.remove(slot, was.boxes());
            was.properties().forEach((name, p) -> {
                // a filter that only grew stays where it lies
                if (properties.containsKey(name) && !grew(was, s, name)) {
                    properties.get(name).remove(slot);
                }
            });
        }
        held.set(slot, s);
        filled.set(slot);
        places.put(slot, s);
        from[slot] = s.timeless() ? Long.MIN_VALUE : s.spans().stream().mapToLong(TimeSpan::from).min()
                .orElse(Long.MAX_VALUE);
        to[slot] = s.timeless() ? Long.MAX_VALUE
                : s.spans().stream().mapToLong(TimeSpan::to).max().orElse(Long.MIN_VALUE);
        s.properties().forEach((name, p) -> {
            if (!properties.containsKey(name) && properties.size() >= MOST_PROPERTIES) {
                properties.values().removeIf(PropertyIndex::empty);
            }
            if (properties.containsKey(name) || properties.size() < MOST_PROPERTIES) {
                properties.computeIfAbsent(name, n -> new PropertyIndex()).put(slot, p);
            }
        });
    }

    private static boolean grew(Summary was, Summary is, String name) {
        return was.epoch() == is.epoch() && is.version() > was.version() && is.properties().containsKey(name);
    }

    void remove(int slot) {
        Summary was = slot < held.size() ? held.set(slot, null) : null;
        if (was != null) {
            filled.clear(slot);
            places.remove(slot, was.boxes());
            was.properties().keySet().stream().map(properties::get).filter(p -> p != null).forEach(p -> p.remove(slot));
        }
    }

    Summary at(int slot) {
        return slot < held.size() ? held.get(slot) : null;
    }

    /** The slots that have a summary. */
    BitSet filled() {
        return filled;
    }

    /** The slots whose summary admits a match. */
    BitSet could(Conditions c) {
        var candidates = (BitSet) filled.clone();
        for (Condition p : c.properties()) {
            PropertyIndex index = properties.get(p.property());
            if (index != null && p instanceof Condition.Equal e && !e.key().isEmpty()) {
                index.keep(e, candidates);
            }
        }
        if (c.box() != null) {
            places.keep(c.box().box(), candidates);
        }
        for (Condition p : c.properties()) {
            PropertyIndex index = properties.get(p.property());
            if (index != null && p instanceof Condition.Range r && r.numeric()) {
                index.keep(r, candidates);
            }
        }
        for (int slot = candidates.nextSetBit(0); slot >= 0; slot = candidates.nextSetBit(slot + 1)) {
            if ((c.time() != null && (from[slot] > c.time().to() || to[slot] < c.time().from()))
                    || held.get(slot).excludes(c) != null) {
                candidates.clear(slot);
            }
        }
        return candidates;
    }

    /** Bytes of the layout, beside the summaries. */
    long bytes() {
        return 24L * from.length + places.bytes() + properties.values().stream().mapToLong(PropertyIndex::bytes).sum();
    }
}

package wallmoor.summaries;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Builds a summary from rows and other summaries, within the size limits. */
public final class SummaryBuilder {
    private final SummaryLimits limits;
    private final String site;
    private final String block;
    private final long epoch;
    private long rows;
    private boolean complete = true;
    private boolean hasUnlocatedRows;
    private boolean hasUntimedRows;
    private final BoundedCover<Box> boxes;
    private final BoundedCover<TimeSpan> spans;
    private final Map<String, PropertySummary> properties = new TreeMap<>();

    /** Creates a builder without rows. */
    public SummaryBuilder(SummaryLimits limits, String site, String block, long epoch) {
        this(limits, new Summary(site, block, epoch, 0, 0, true, false, false, List.of(), List.of(),
                Map.of()));
    }

    /** Creates a builder that starts from a summary. */
    SummaryBuilder(SummaryLimits limits, Summary from) {
        if (Encoding.utf8Bytes(from.site()) > Encoding.MAX_NAME_BYTES
                || Encoding.utf8Bytes(from.block()) > Encoding.MAX_NAME_BYTES) {
            throw new IllegalArgumentException("name of a site or block has more than "
                    + Encoding.MAX_NAME_BYTES + " bytes: site=" + from.site() + " block=" + from.block());
        }
        this.limits = limits;
        this.site = from.site();
        this.block = from.block();
        this.epoch = from.epoch();
        this.rows = from.rows();
        this.complete = from.complete();
        this.hasUnlocatedRows = from.hasUnlocatedRows();
        this.hasUntimedRows = from.hasUntimedRows();
        this.boxes = BoundedCover.boxes(limits.boxes(), from.boxes());
        this.spans = BoundedCover.spans(limits.spans(), from.spans());
        from.properties().forEach((name, p) -> properties.put(name, p.copy()));
    }

    /** Adds a row. */
    public void add(Row row) {
        if (row.place() == null) {
            hasUnlocatedRows = true;
        } else {
            boxes.add(Box.of(row.place()));
        }
        if (row.time() == null) {
            hasUntimedRows = true;
        } else {
            spans.add(row.time().widened());
        }
        for (String name : row.values().keySet()) {
            findOrAddProperty(name);
        }
        properties.forEach((name, p) -> p.add(row.values().get(name), limits));
        rows++;
    }

    /** Returns the property of that name, which it adds if it is new; null if the limits leave no room for it. */
    private PropertySummary findOrAddProperty(String name) {
        PropertySummary p = properties.get(name);
        // a new property may have been omitted before; the values of the earlier rows are then unknown
        if (p == null && complete && properties.size() < limits.properties()
                && Encoding.utf8Bytes(name) <= limits.maxValueBytes()) {
            p = new PropertySummary();
            p.missing = rows > 0;
            properties.put(name, p);
        }
        complete &= p != null;
        return p;
    }

    /** Adds everything that another summary covers. */
    void absorb(Summary other) {
        if (other.rows() == 0) {
            return;
        }
        hasUnlocatedRows |= other.hasUnlocatedRows();
        hasUntimedRows |= other.hasUntimedRows();
        other.boxes().forEach(boxes::add);
        other.spans().forEach(spans::add);
        for (String name : other.properties().keySet()) {
            findOrAddProperty(name);
        }
        // a property that the other summary omitted is dropped: its rows may have any value of it
        properties.keySet().removeIf(name -> !other.properties().containsKey(name) && !other.complete());
        complete &= other.complete();
        properties.forEach((name, p) -> {
            PropertySummary added = other.properties().get(name);
            if (added == null) {
                p.missing = true;
            } else {
                p.absorb(added, limits);
            }
        });
        rows += other.rows();
    }

    /** Builds the summary of everything added, with this version; its encoding fits the byte limit. */
    public Summary build(long version) {
        var coarsened = new TreeMap<String, PropertySummary>();
        properties.forEach((name, p) -> {
            PropertySummary copy = p.copy();
            copy.filter = copy.filter == null ? null : copy.filter.fitted();
            coarsened.put(name, copy);
        });
        boolean isComplete = complete;
        Summary summary = snapshot(version, isComplete, coarsened);
        while (Encoding.encode(summary).length > limits.bytes()) {
            isComplete &= coarsenLargest(coarsened);
            summary = snapshot(version, isComplete, coarsened);
        }
        return summary;
    }

    private Summary snapshot(long version, boolean isComplete, Map<String, PropertySummary> summaries) {
        return new Summary(site, block, epoch, version, rows, isComplete, hasUnlocatedRows, hasUntimedRows,
                hasUnlocatedRows ? List.of() : boxes.cover(), hasUntimedRows ? List.of() : spans.cover(), summaries);
    }

    /** Halves the bytes of the largest property, or omits it. Returns whether the summary is still complete. */
    private static boolean coarsenLargest(Map<String, PropertySummary> summaries) {
        String largest = null;
        int largestBytes = -1;
        for (var e : summaries.entrySet()) {
            int bytes = Encoding.encodedBytes(e.getValue());
            if (bytes > largestBytes) {
                largestBytes = bytes;
                largest = e.getKey();
            }
        }
        PropertySummary p = summaries.get(largest);
        int bits = Integer.highestOneBit(Math.max(1, largestBytes * 4));
        if (p.values != null && largestBytes > 2 * KeyBloomFilter.MIN_BITS / 8) {
            p.replaceValuesByFilter(Math.max(KeyBloomFilter.MIN_BITS, bits));
        } else if (p.filter != null && p.filter.bits() > KeyBloomFilter.MIN_BITS) {
            p.filter = p.filter.shrunk(p.filter.bits() / 2);
        } else {
            summaries.remove(largest);
            return false;
        }
        return true;
    }
}

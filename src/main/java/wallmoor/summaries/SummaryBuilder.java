package wallmoor.summaries;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Builds a summary from rows and other summaries, within the size that the limits give. */
public final class SummaryBuilder {
    private final SummaryLimits settings;
    private final String site;
    private final String block;
    private final long epoch;
    private long rows;
    private boolean complete = true;
    private boolean placeless;
    private boolean timeless;
    private final BoundedCover<Box> boxes;
    private final BoundedCover<TimeSpan> spans;
    private final Map<String, PropertySummary> properties = new TreeMap<>();

    /** A builder with no rows. */
    public SummaryBuilder(SummaryLimits settings, String site, String block, long epoch) {
        this(settings, new Summary(site, block, epoch, 0, 0, true, false, false, List.of(), List.of(),
                Map.of()));
    }

    /** A builder that begins with a summary. */
    SummaryBuilder(SummaryLimits settings, Summary from) {
        if (Encoding.utf8(from.site()) > Encoding.LONGEST_NAME || Encoding.utf8(from.block()) > Encoding.LONGEST_NAME) {
            throw new IllegalArgumentException("names of sites and blocks have " + Encoding.LONGEST_NAME
                    + " bytes at most");
        }
        this.settings = settings;
        this.site = from.site();
        this.block = from.block();
        this.epoch = from.epoch();
        this.rows = from.rows();
        this.complete = from.complete();
        this.placeless = from.placeless();
        this.timeless = from.timeless();
        this.boxes = BoundedCover.boxes(settings.boxes(), from.boxes());
        this.spans = BoundedCover.spans(settings.spans(), from.spans());
        from.properties().forEach((name, p) -> properties.put(name, p.copy()));
    }

    /** Adds a row. */
    public void add(Row row) {
        if (row.place() == null) {
            placeless = true;
        } else {
            boxes.add(Box.of(row.place()));
        }
        if (row.time() == null) {
            timeless = true;
        } else {
            spans.add(row.time().roomy());
        }
        for (String name : row.values().keySet()) {
            propertyOrNull(name);
        }
        properties.forEach((name, p) -> p.add(row.values().get(name), settings));
        rows++;
    }

    /** The property of that name, or null where the limits leave no room for it. */
    private PropertySummary propertyOrNull(String name) {
        PropertySummary p = properties.get(name);
        // one that comes late may have been left out before: what rows then had of it is not known any more
        if (p == null && complete && properties.size() < settings.properties()
                && Encoding.utf8(name) <= settings.maxValueBytes()) {
            p = new PropertySummary();
            p.missing = rows > 0;
            properties.put(name, p);
        }
        complete &= p != null;
        return p;
    }

    /** Adds all that another summary covers. */
    void absorb(Summary other) {
        if (other.rows() == 0) {
            return;
        }
        placeless |= other.placeless();
        timeless |= other.timeless();
        other.boxes().forEach(boxes::add);
        other.spans().forEach(spans::add);
        for (String name : other.properties().keySet()) {
            propertyOrNull(name);
        }
        // what the other left out can't be told of any longer: its rows may have any value of it
        properties.keySet().removeIf(name -> !other.properties().containsKey(name) && !other.complete());
        complete &= other.complete();
        properties.forEach((name, p) -> {
            PropertySummary its = other.properties().get(name);
            if (its == null) {
                p.missing = true;
            } else {
                p.absorb(its, settings);
            }
        });
        rows += other.rows();
    }

    /** The summary of all that was added, under this version, encoded in at most the bytes of the limits. */
    public Summary build(long version) {
        var less = new TreeMap<String, PropertySummary>();
        properties.forEach((name, p) -> {
            PropertySummary copy = p.copy();
            copy.filter = copy.filter == null ? null : copy.filter.fitted();
            less.put(name, copy);
        });
        boolean all = complete;
        Summary made = snapshot(version, all, less);
        while (Encoding.encode(made).length > settings.bytes()) {
            all &= coarsenLargest(less);
            made = snapshot(version, all, less);
        }
        return made;
    }

    private Summary snapshot(long version, boolean all, Map<String, PropertySummary> of) {
        return new Summary(site, block, epoch, version, rows, all, placeless, timeless, placeless ? List.of()
                : boxes.told(), timeless ? List.of() : spans.told(), of);
    }

    /** Halves the bytes of the largest property, or leaves it out. Returns whether the summary is still complete. */
    private static boolean coarsenLargest(Map<String, PropertySummary> of) {
        String largest = null;
        int most = -1;
        for (var e : of.entrySet()) {
            int bytes = Encoding.bytes(e.getValue());
            if (bytes > most) {
                most = bytes;
                largest = e.getKey();
            }
        }
        PropertySummary p = of.get(largest);
        int bits = Integer.highestOneBit(Math.max(1, most * 4));
        if (p.values != null && most > 2 * KeyBloomFilter.LEAST_BITS / 8) {
            p.replaceValuesByFilter(Math.max(KeyBloomFilter.LEAST_BITS, bits));
        } else if (p.filter != null && p.filter.bits() > KeyBloomFilter.LEAST_BITS) {
            p.filter = p.filter.shrunk(p.filter.bits() / 2);
        } else {
            of.remove(largest);
            return false;
        }
        return true;
    }
}

package wallmoor.summaries;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** What a site tells of the rows of one block at one version. It is never changed: what follows it is another. */
public final class Summary {
    private final String site;
    private final String block;
    private final long epoch;
    private final long version;
    private final long rows;
    /** Every property of every row is told of: none was left out for want of room. */
    private final boolean complete;
    private final boolean placeless;
    private final boolean timeless;
    private final List<Box> boxes;
    private final List<TimeSpan> spans;
    private final Map<String, PropertySummary> properties;

    Summary(String site, String block, long epoch, long version, long rows, boolean complete, boolean placeless,
            boolean timeless, List<Box> boxes, List<TimeSpan> spans, Map<String, PropertySummary> properties) {
        this.site = site;
        this.block = block;
        this.epoch = epoch;
        this.version = version;
        this.rows = rows;
        this.complete = complete;
        this.placeless = placeless;
        this.timeless = timeless;
        this.boxes = List.copyOf(boxes);
        this.spans = List.copyOf(spans);
        this.properties = new TreeMap<>(properties);
        this.properties.values().forEach(PropertySummary::sortNumbers);
    }

    /** Who tells. */
    public String site() {
        return site;
    }

    /** Of which region block. */
    public String block() {
        return block;
    }

    /** The site's life: it grows with each start. */
    public long epoch() {
        return epoch;
    }

    /** The version of the data, which grows with each widening within an epoch. */
    public long version() {
        return version;
    }

    /** How many rows at most. */
    public long rows() {
        return rows;
    }

    boolean complete() {
        return complete;
    }

    boolean placeless() {
        return placeless;
    }

    boolean timeless() {
        return timeless;
    }

    List<Box> boxes() {
        return boxes;
    }

    List<TimeSpan> spans() {
        return spans;
    }

    Map<String, PropertySummary> properties() {
        return properties;
    }

    /** Whether it admits a row that meets all conditions. A property that it does not tell of admits anything. */
    public MatchResult match(Conditions c) {
        String why = excludes(c);
        if (why != null) {
            return new MatchResult(MatchResult.MatchKind.CANNOT, why);
        }
        for (Condition p : c.properties()) {
            if (!properties.containsKey(p.property())) {
                return MatchResult.unknown("its summary tells nothing of " + p.property());
            }
        }
        return MatchResult.couldMatch();
    }

    String excludes(Conditions c) {
        if (rows == 0) {
            return "it has no rows";
        }
        if (c.time() != null && !timeless && spans.stream().noneMatch(s -> s.overlaps(c.time()))) {
            return "none of its rows is of that time";
        }
        if (c.box() != null && !placeless && boxes.stream().noneMatch(b -> b.overlaps(c.box().box()))) {
            return "none of its rows lies in that box";
        }
        for (Condition p : c.properties()) {
            PropertySummary told = properties.get(p.property());
            String why = told == null ? null : told.excludes(p);
            if (why != null) {
                return why;
            }
        }
        return null;
    }

    /** Whether it already admits all that the other one does, so that it need not be widened. */
    boolean covers(Summary other) {
        if (other.rows == 0) {
            return true;
        }
        if (rows == 0 || (complete && !other.complete)
                || (complete && !properties.keySet().containsAll(other.properties.keySet()))) {
            return false; // a property not told of yet: were it passed over, a later row's would seem to be its first
        }
        return coversPlaces(other) && coversTimes(other) && coversProperties(other);
    }

    private boolean coversPlaces(Summary other) {
        return placeless || (!other.placeless
                && other.boxes.stream().allMatch(o -> boxes.stream().anyMatch(b -> b.holds(o))));
    }

    private boolean coversTimes(Summary other) {
        return timeless || (!other.timeless && other.spans.stream()
                .allMatch(o -> spans.stream().anyMatch(s -> s.from() <= o.from() && o.to() <= s.to())));
    }

    private boolean coversProperties(Summary other) {
        return properties.entrySet().stream().allMatch(p -> {
            PropertySummary its = other.properties.get(p.getKey());
            return its == null ? other.complete && p.getValue().missing : p.getValue().covers(its);
        });
    }

    /** What it holds, a line for each thing, for people. */
    public List<String> lines() {
        var lines = new ArrayList<String>();
        lines.add("site " + site + (block.isEmpty() ? "" : " block " + block) + " epoch " + epoch + " version "
                + version
                + ": " + rows + " rows, " + Encoding.encode(this).length + " bytes"
                + (complete ? "" : "; some properties were left out for want of room"));
        lines.add(placeless ? "places: some rows have none, so every box may match" : "places: " + boxes.size()
                + " boxes");
        boxes.forEach(b -> lines.add("  " + degrees(b.west()) + "," + degrees(b.south()) + ","
                + degrees(b.west() + b.width() > Box.ROUND / 2 ? b.west() + b.width() - Box.ROUND : b.west()
                        + b.width())
                + "," + degrees(b.north())));
        lines.add(timeless ? "times: some rows have none, so every time may match" : "times: " + spans.size()
                + " spans");
        spans.forEach(s -> lines.add("  " + time(s.from()) + "/" + time(s.to())));
        properties.forEach((name, p) -> lines.add("property " + name + ": " + p.describe()));
        return lines;
    }

    private static String degrees(int units) {
        return java.math.BigDecimal.valueOf(units, 5).stripTrailingZeros().toPlainString();
    }

    private static String time(long micros) {
        if (micros == Long.MIN_VALUE || micros == Long.MAX_VALUE) {
            return "..";
        }
        return java.time.LocalDateTime.ofEpochSecond(Math.floorDiv(micros, 1_000_000L),
                (int) Math.floorMod(micros, 1_000_000L) * 1000, java.time.ZoneOffset.UTC) + "Z";
    }
}

package wallmoor.summaries;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A summary of a site's rows of one block at one version. Immutable. */
public final class Summary {
    private final String site;
    private final String block;
    private final long epoch;
    private final long version;
    private final long rows;
    /** Whether every property of every row is covered, and none was omitted to fit the size limits. */
    private final boolean complete;
    private final boolean hasUnlocatedRows;
    private final boolean hasUntimedRows;
    private final List<Box> boxes;
    private final List<TimeSpan> spans;
    private final Map<String, PropertySummary> properties;

    Summary(String site, String block, long epoch, long version, long rows, boolean complete, boolean hasUnlocatedRows,
            boolean hasUntimedRows, List<Box> boxes, List<TimeSpan> spans, Map<String, PropertySummary> properties) {
        this.site = site;
        this.block = block;
        this.epoch = epoch;
        this.version = version;
        this.rows = rows;
        this.complete = complete;
        this.hasUnlocatedRows = hasUnlocatedRows;
        this.hasUntimedRows = hasUntimedRows;
        this.boxes = List.copyOf(boxes);
        this.spans = List.copyOf(spans);
        this.properties = new TreeMap<>(properties);
        this.properties.values().forEach(PropertySummary::sortNumbers);
    }

    /** Returns the name of the site. */
    public String site() {
        return site;
    }

    /** Returns the region block. */
    public String block() {
        return block;
    }

    /** Returns the site's incarnation, which grows with each start. */
    public long epoch() {
        return epoch;
    }

    /** Returns the version of the data, which grows with each widening within an epoch. */
    public long version() {
        return version;
    }

    /** Returns the maximum number of rows. */
    public long rows() {
        return rows;
    }

    boolean complete() {
        return complete;
    }

    boolean hasUnlocatedRows() {
        return hasUnlocatedRows;
    }

    boolean hasUntimedRows() {
        return hasUntimedRows;
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

    /** Returns whether a row can meet all conditions. A property that the summary does not cover may have any value. */
    public MatchResult match(Conditions c) {
        String why = exclusionReason(c);
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

    /** Returns why no row can meet all conditions, or null if one could. */
    String exclusionReason(Conditions c) {
        if (rows == 0) {
            return "it has no rows";
        }
        if (c.time() != null && !hasUntimedRows && spans.stream().noneMatch(s -> s.overlaps(c.time()))) {
            return "none of its rows is of that time";
        }
        if (c.box() != null && !hasUnlocatedRows && boxes.stream().noneMatch(b -> b.overlaps(c.box().box()))) {
            return "none of its rows lies in that box";
        }
        for (Condition p : c.properties()) {
            PropertySummary summary = properties.get(p.property());
            String why = summary == null ? null : summary.exclusionReason(p);
            if (why != null) {
                return why;
            }
        }
        return null;
    }

    /** Returns whether this summary already admits everything that the other one does and need not be widened. */
    boolean covers(Summary other) {
        if (other.rows == 0) {
            return true;
        }
        if (rows == 0 || (complete && !other.complete)
                || (complete && !properties.keySet().containsAll(other.properties.keySet()))) {
            // a new property must be added now, or a later row with it would be taken for the first one that has it
            return false;
        }
        return coversLocations(other) && coversTimes(other) && coversProperties(other);
    }

    private boolean coversLocations(Summary other) {
        return hasUnlocatedRows || (!other.hasUnlocatedRows
                && other.boxes.stream().allMatch(o -> boxes.stream().anyMatch(b -> b.contains(o))));
    }

    private boolean coversTimes(Summary other) {
        return hasUntimedRows || (!other.hasUntimedRows && other.spans.stream()
                .allMatch(o -> spans.stream().anyMatch(s -> s.from() <= o.from() && o.to() <= s.to())));
    }

    private boolean coversProperties(Summary other) {
        return properties.entrySet().stream().allMatch(p -> {
            PropertySummary otherProperty = other.properties.get(p.getKey());
            return otherProperty == null ? other.complete && p.getValue().missing : p.getValue().covers(otherProperty);
        });
    }

    /** Returns a description of the contents for operators, in lines. */
    public List<String> lines() {
        var lines = new ArrayList<String>();
        lines.add("site " + site + (block.isEmpty() ? "" : " block " + block) + " epoch " + epoch + " version "
                + version
                + ": " + rows + " rows, " + Encoding.encode(this).length + " bytes"
                + (complete ? "" : "; some properties were left out for want of room"));
        lines.add(hasUnlocatedRows ? "places: some rows have none, so every box may match" : "places: " + boxes.size()
                + " boxes");
        boxes.forEach(b -> lines.add("  " + degrees(b.west()) + "," + degrees(b.south()) + ","
                + degrees(b.west() + b.width() > Box.FULL_CIRCLE / 2 ? b.west() + b.width() - Box.FULL_CIRCLE : b.west()
                        + b.width())
                + "," + degrees(b.north())));
        lines.add(hasUntimedRows ? "times: some rows have none, so every time may match" : "times: " + spans.size()
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

package wallmoor.summaries;

import java.time.DateTimeException;
import java.time.LocalDate;
import java.time.LocalDateTime;
import java.time.OffsetDateTime;
import java.time.ZoneOffset;

/**
 * A span of time with inclusive ends, in microseconds of Unix time. {@link Long#MIN_VALUE} and {@link Long#MAX_VALUE}
 * are open ends.
 */
public record TimeSpan(long from, long to) {
    private static final long MICROS_PER_SECOND = 1_000_000;
    /** Maximum offset of a time zone; a day or a time without an offset may be in any zone. */
    private static final long MAX_ZONE_OFFSET_MICROS = 14 * 3600 * MICROS_PER_SECOND;
    private static final long MICROS_PER_DAY = 24 * 3600 * MICROS_PER_SECOND;

    /** Validates the order of the ends. */
    public TimeSpan {
        if (from > to) {
            throw new IllegalArgumentException("time span ends before it begins: from=" + from + " to=" + to);
        }
    }

    boolean overlaps(TimeSpan other) {
        return from <= other.to && other.from <= to;
    }

    TimeSpan union(TimeSpan other) {
        return new TimeSpan(Math.min(from, other.from), Math.max(to, other.to));
    }

    /** Returns this span with a second more at either end, as a site may store whole seconds. */
    TimeSpan widened() {
        return new TimeSpan(from < Long.MIN_VALUE + MICROS_PER_SECOND ? Long.MIN_VALUE : from - MICROS_PER_SECOND,
                to > Long.MAX_VALUE - MICROS_PER_SECOND ? Long.MAX_VALUE : to + MICROS_PER_SECOND);
    }

    /**
     * Parses an RFC 3339 time, a day, or an interval {@code A/B} of these, either end of which may be {@code ..} or
     * empty. A day extends over the complete day in every time zone.
     *
     * @throws InvalidConditionException if the text is none of these
     */
    public static TimeSpan parse(String text) {
        String[] ends = text.split("/", -1);
        if (ends.length > 2 || (ends.length == 1 && isOpen(ends[0]))) {
            throw new InvalidConditionException("neither a time nor an interval A/B: " + text);
        }
        TimeSpan first = isOpen(ends[0]) ? null : parseTime(ends[0]);
        TimeSpan last = ends.length == 1 ? first : isOpen(ends[1]) ? null : parseTime(ends[1]);
        long from = first == null ? Long.MIN_VALUE : first.from;
        long to = last == null ? Long.MAX_VALUE : last.to;
        if (from > to) {
            throw new InvalidConditionException("interval ends before it begins: " + text);
        }
        return new TimeSpan(from, to);
    }

    private static boolean isOpen(String end) {
        return end.isEmpty() || end.equals("..");
    }

    private static TimeSpan parseTime(String text) {
        try {
            if (text.length() == 10) {
                long day = LocalDate.parse(text).toEpochDay();
                return new TimeSpan(Math.multiplyExact(day, MICROS_PER_DAY) - MAX_ZONE_OFFSET_MICROS,
                        Math.multiplyExact(day, MICROS_PER_DAY) + MICROS_PER_DAY + MAX_ZONE_OFFSET_MICROS);
            }
            if (hasZoneOffset(text)) {
                return around(OffsetDateTime.parse(text), 0);
            }
            return around(LocalDateTime.parse(text).atOffset(ZoneOffset.UTC), MAX_ZONE_OFFSET_MICROS);
        } catch (DateTimeException | ArithmeticException e) {
            throw new InvalidConditionException("not an RFC 3339 time: " + text, e);
        }
    }

    private static boolean hasZoneOffset(String text) {
        String clock = text.substring(Math.max(0, text.toUpperCase(java.util.Locale.ROOT).indexOf('T')));
        return clock.endsWith("Z") || clock.endsWith("z") || clock.indexOf('+') >= 0 || clock.indexOf('-') >= 0;
    }

    /** Returns the span around a time, rounded outward to whole microseconds, with a margin in microseconds. */
    private static TimeSpan around(OffsetDateTime at, long margin) {
        long micros = Math.addExact(Math.multiplyExact(at.toEpochSecond(), MICROS_PER_SECOND), at.getNano() / 1000);
        int roundUp = at.getNano() % 1000 > 0 ? 1 : 0;
        return new TimeSpan(Math.subtractExact(micros, margin), Math.addExact(micros, margin + roundUp));
    }
}

package wallmoor.summaries;

import java.time.DateTimeException;
import java.time.LocalDate;
import java.time.LocalDateTime;
import java.time.OffsetDateTime;
import java.time.ZoneOffset;

/**
 * A span of time, both ends within, in microseconds of Unix time. {@link Long#MIN_VALUE} and {@link Long#MAX_VALUE}
 * stand for open ends.
 */
public record TimeSpan(long from, long to) {
    private static final long SECOND = 1_000_000;
    /** A day or a time without an offset may be meant in any zone of the world. */
    private static final long ZONES = 14 * 3600 * SECOND;
    private static final long DAY = 24 * 3600 * SECOND;

    /** Checks the order. */
    public TimeSpan {
        if (from > to) {
            throw new IllegalArgumentException("it ends before it begins");
        }
    }

    boolean overlaps(TimeSpan other) {
        return from <= other.to && other.from <= to;
    }

    TimeSpan with(TimeSpan other) {
        return new TimeSpan(Math.min(from, other.from), Math.max(to, other.to));
    }

    /** A second wider at either end: a site may keep whole seconds. */
    TimeSpan roomy() {
        return new TimeSpan(from < Long.MIN_VALUE + SECOND ? Long.MIN_VALUE : from - SECOND,
                to > Long.MAX_VALUE - SECOND ? Long.MAX_VALUE : to + SECOND);
    }

    /**
     * An RFC 3339 time, a day, or an interval {@code A/B} of them, either end of which may be {@code ..} or empty. A
     * day is the whole of it in any zone.
     *
     * @throws InvalidConditionException with what is wrong, where it is none of these
     */
    public static TimeSpan parse(String text) {
        String[] ends = text.split("/", -1);
        if (ends.length > 2 || (ends.length == 1 && open(ends[0]))) {
            throw new InvalidConditionException("it is neither a time nor an interval A/B: " + text);
        }
        TimeSpan first = open(ends[0]) ? null : one(ends[0]);
        TimeSpan last = ends.length == 1 ? first : open(ends[1]) ? null : one(ends[1]);
        long from = first == null ? Long.MIN_VALUE : first.from;
        long to = last == null ? Long.MAX_VALUE : last.to;
        if (from > to) {
            throw new InvalidConditionException("it ends before it begins");
        }
        return new TimeSpan(from, to);
    }

    private static boolean open(String end) {
        return end.isEmpty() || end.equals("..");
    }

    private static TimeSpan one(String text) {
        try {
            if (text.length() == 10) {
                long at = LocalDate.parse(text).toEpochDay();
                return new TimeSpan(Math.multiplyExact(at, DAY) - ZONES, Math.multiplyExact(at, DAY) + DAY + ZONES);
            }
            if (zoned(text)) {
                return micros(OffsetDateTime.parse(text), 0);
            }
            return micros(LocalDateTime.parse(text).atOffset(ZoneOffset.UTC), ZONES);
        } catch (DateTimeException | ArithmeticException e) {
            throw new InvalidConditionException("it is no RFC 3339 time: " + text, e);
        }
    }

    private static boolean zoned(String text) {
        String clock = text.substring(Math.max(0, text.toUpperCase(java.util.Locale.ROOT).indexOf('T')));
        return clock.endsWith("Z") || clock.endsWith("z") || clock.indexOf('+') >= 0 || clock.indexOf('-') >= 0;
    }

    /** Outward to whole microseconds. */
    private static TimeSpan micros(OffsetDateTime at, long room) {
        long micros = Math.addExact(Math.multiplyExact(at.toEpochSecond(), SECOND), at.getNano() / 1000);
        int up = at.getNano() % 1000 > 0 ? 1 : 0;
        return new TimeSpan(Math.subtractExact(micros, room), Math.addExact(micros, room + up));
    }
}

package wallmoor.summaries;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.zip.CRC32C;
import wallmoor.summaries.UnreadableSummaryException.Fault;

/**
 * A summary as bytes: sign, version, kind, length, body, CRC-32C of all before it. Every count is held against what is
 * left before room is made for it, so that reading takes a few times the bytes and no more.
 */
public final class Encoding {
    /** UTF-8 bytes of a site's or a block's name. */
    static final int LONGEST_NAME = 200;

    private static final int SIGN = 0x57534D59; // WSMY
    private static final int VERSION = 1;
    private static final int WHOLE = 1;
    private static final int HEAD = 10;
    private static final int MISSING = 1;
    private static final int ODD = 2;
    private static final int NUMBERS = 4;
    private static final int TEXTS = 8;
    private static final int EXTENT = 16;
    private static final int TEXT_EXTENT = 32;
    private static final int FILTER = 64;
    private static final int PLACELESS = 1;
    private static final int TIMELESS = 2;
    private static final int COMPLETE = 4;

    private Encoding() {}

    static int utf8(String s) {
        return s.getBytes(StandardCharsets.UTF_8).length;
    }

    /** The bytes that a property takes, without its name. */
    static int bytes(PropertySummary p) {
        int bytes = 1 + (p.smallestNumber <= p.largestNumber ? 16 : 0);
        if (p.firstText != null) {
            bytes += 8 + utf8(p.firstText) + utf8(p.lastText) + utf8(p.firstFoldedText) + utf8(p.lastFoldedText);
        }
        if (p.values == null) {
            return bytes + 1 + p.filter.bits() / 8;
        }
        return bytes + 2 + p.values.stream().mapToInt(v -> 2 + utf8(v)).sum();
    }

    /** The bytes of a summary. */
    public static byte[] encode(Summary s) {
        int size = HEAD + 4 + 4 + utf8(s.site()) + utf8(s.block()) + 25 + 2 + 16 * s.boxes().size()
                + 16 * s.spans().size() + 2;
        for (var e : s.properties().entrySet()) {
            size += 2 + utf8(e.getKey()) + bytes(e.getValue());
        }
        ByteBuffer to = ByteBuffer.allocate(size);
        to.putInt(SIGN).put((byte) VERSION).put((byte) WHOLE).putInt(size);
        text(to, s.site());
        text(to, s.block());
        to.putLong(s.epoch()).putLong(s.version()).putLong(s.rows());
        to.put((byte) ((s.placeless() ? PLACELESS : 0) | (s.timeless() ? TIMELESS : 0)
                | (s.complete() ? COMPLETE : 0)));
        to.put((byte) s.boxes().size());
        s.boxes().forEach(b -> to.putInt(b.west()).putInt(b.width()).putInt(b.south()).putInt(b.north()));
        to.put((byte) s.spans().size());
        s.spans().forEach(x -> to.putLong(x.from()).putLong(x.to()));
        to.putShort((short) s.properties().size());
        s.properties().forEach((name, p) -> {
            text(to, name);
            property(to, p);
        });
        to.putInt(crc(to.array(), to.position()));
        return to.array();
    }

    private static void property(ByteBuffer to, PropertySummary p) {
        to.put((byte) ((p.missing ? MISSING : 0) | (p.unordered ? ODD : 0) | (p.numbers ? NUMBERS : 0)
                | (p.texts ? TEXTS : 0)
                | (p.smallestNumber <= p.largestNumber ? EXTENT : 0) | (p.firstText != null ? TEXT_EXTENT : 0)
                | (p.values == null ? FILTER : 0)));
        if (p.smallestNumber <= p.largestNumber) {
            to.putDouble(p.smallestNumber).putDouble(p.largestNumber);
        }
        if (p.firstText != null) {
            text(to, p.firstText);
            text(to, p.lastText);
            text(to, p.firstFoldedText);
            text(to, p.lastFoldedText);
        }
        if (p.values == null) {
            to.put((byte) Integer.numberOfTrailingZeros(p.filter.bits()));
            for (long w : p.filter.words()) {
                to.putLong(w);
            }
        } else {
            to.putShort((short) p.values.size());
            p.values.forEach(v -> text(to, v));
        }
    }

    private static void text(ByteBuffer to, String s) {
        byte[] bytes = s.getBytes(StandardCharsets.UTF_8);
        to.putShort((short) bytes.length).put(bytes);
    }

    private static int crc(byte[] bytes, int length) {
        var crc = new CRC32C();
        crc.update(bytes, 0, length);
        return (int) crc.getValue();
    }

    /**
     * The summary that these bytes are.
     *
     * @throws UnreadableSummaryException where they are none
     */
    public static Summary decode(byte[] bytes) throws UnreadableSummaryException {
        if (bytes.length > SummaryLimits.MAX_BYTES) {
            throw new UnreadableSummaryException(Fault.TOO_LARGE, "the summary has " + bytes.length + " bytes");
        }
        ByteBuffer from = ByteBuffer.wrap(bytes);
        if (bytes.length < HEAD + 4 || from.getInt() != SIGN) {
            throw new UnreadableSummaryException(Fault.TORN, "the summary lacks its sign");
        }
        int version = from.get();
        int kind = from.get();
        int size = from.getInt();
        if (version != VERSION) { // a later form may be checked another way
            throw new UnreadableSummaryException(Fault.UNKNOWN_VERSION, "the summary's form is version " + version);
        }
        if (size != bytes.length || ByteBuffer.wrap(bytes, size - 4, 4).getInt() != crc(bytes, size - 4)) {
            throw new UnreadableSummaryException(Fault.TORN,
                    "the summary is torn: " + bytes.length + " bytes of " + size);
        }
        if (kind != WHOLE) {
            throw new UnreadableSummaryException(Fault.UNKNOWN_KIND, "the summary is of kind " + kind);
        }
        try {
            Summary s = body(from);
            if (from.remaining() != 4) {
                throw malformed("more after its end");
            }
            return s;
        } catch (BufferUnderflowException | IllegalArgumentException e) {
            throw malformed(e.getMessage());
        }
    }

    private static UnreadableSummaryException malformed(String what) {
        return new UnreadableSummaryException(Fault.MALFORMED, "the summary says what none can, " + what);
    }

    private static Summary body(ByteBuffer from) throws UnreadableSummaryException {
        String site = text(from);
        String block = text(from);
        long epoch = from.getLong();
        long version = from.getLong();
        long rows = from.getLong();
        int flags = from.get();
        var boxes = new ArrayList<Box>();
        for (int n = count(from, from.get() & 0xff, 16); n > 0; n--) {
            boxes.add(new Box(from.getInt(), from.getInt(), from.getInt(), from.getInt()));
        }
        var spans = new ArrayList<TimeSpan>();
        for (int n = count(from, from.get() & 0xff, 16); n > 0; n--) {
            spans.add(new TimeSpan(from.getLong(), from.getLong()));
        }
        var properties = new TreeMap<String, PropertySummary>();
        for (int n = count(from, from.getShort() & 0xffff, 6); n > 0; n--) {
            if (properties.put(text(from), property(from)) != null) {
                throw malformed("a property twice");
            }
        }
        if (rows < 0) {
            throw malformed("less than no rows");
        }
        return new Summary(site, block, epoch, version, rows, (flags & COMPLETE) != 0, (flags & PLACELESS) != 0,
                (flags & TIMELESS) != 0, boxes, spans, properties);
    }

    private static PropertySummary property(ByteBuffer from) throws UnreadableSummaryException {
        var p = new PropertySummary();
        int flags = from.get();
        p.missing = (flags & MISSING) != 0;
        p.unordered = (flags & ODD) != 0;
        p.numbers = (flags & NUMBERS) != 0;
        p.texts = (flags & TEXTS) != 0;
        if ((flags & EXTENT) != 0) {
            p.smallestNumber = from.getDouble();
            p.largestNumber = from.getDouble();
            if (!(p.smallestNumber <= p.largestNumber)) {
                throw malformed("a least above the most");
            }
        }
        if ((flags & TEXT_EXTENT) != 0) {
            p.firstText = text(from);
            p.lastText = text(from);
            p.firstFoldedText = text(from);
            p.lastFoldedText = text(from);
        } else if (p.texts && !p.unordered) {
            throw malformed("texts without a least");
        }
        if ((flags & FILTER) != 0) {
            int bits = from.get();
            if (bits < 8 || bits > 20) {
                throw malformed("a filter of 2^" + bits + " bits");
            }
            var words = new long[count(from, 1 << (bits - 6), 8)];
            for (int i = 0; i < words.length; i++) {
                words[i] = from.getLong();
            }
            p.values = null;
            p.filter = KeyBloomFilter.ofWords(words);
            return p;
        }
        p.values = new TreeSet<>();
        for (int n = count(from, from.getShort() & 0xffff, 3); n > 0; n--) {
            p.values.add(text(from));
        }
        return p;
    }

    /** So many things of so many bytes each must still be there. */
    private static int count(ByteBuffer from, int n, int each) throws UnreadableSummaryException {
        if (n > from.remaining() / each) {
            throw malformed("more counted than there is");
        }
        return n;
    }

    private static String text(ByteBuffer from) throws UnreadableSummaryException {
        int length = count(from, from.getShort() & 0xffff, 1);
        var bytes = new byte[length];
        from.get(bytes);
        return new String(bytes, StandardCharsets.UTF_8);
    }
}

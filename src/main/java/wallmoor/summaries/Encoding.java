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
 * The binary encoding of a summary: magic number, version, kind, length, body, and the CRC-32C of all before it. Each
 * count is compared with the remaining bytes before memory is allocated for it, so that decoding allocates at most a
 * few times the size of its input.
 */
public final class Encoding {
    /** Maximum length of the name of a site or block, in UTF-8 bytes. */
    static final int MAX_NAME_BYTES = 200;

    private static final int MAGIC = 0x57534D59; // WSMY
    private static final int VERSION = 1;
    private static final int KIND_FULL = 1;
    private static final int HEADER_BYTES = 10;
    private static final int FLAG_MISSING = 1;
    private static final int FLAG_UNORDERED = 2;
    private static final int FLAG_NUMBERS = 4;
    private static final int FLAG_TEXTS = 8;
    private static final int FLAG_NUMBER_EXTENT = 16;
    private static final int FLAG_TEXT_EXTENT = 32;
    private static final int FLAG_FILTER = 64;
    private static final int FLAG_UNLOCATED_ROWS = 1;
    private static final int FLAG_UNTIMED_ROWS = 2;
    private static final int FLAG_COMPLETE = 4;

    private Encoding() {}

    static int utf8Bytes(String s) {
        return s.getBytes(StandardCharsets.UTF_8).length;
    }

    /** Returns the number of bytes that a property takes, without its name. */
    static int encodedBytes(PropertySummary p) {
        int bytes = 1 + (p.smallestNumber <= p.largestNumber ? 16 : 0);
        if (p.firstText != null) {
            bytes += 8 + utf8Bytes(p.firstText) + utf8Bytes(p.lastText) + utf8Bytes(p.firstFoldedText)
                    + utf8Bytes(p.lastFoldedText);
        }
        if (p.values == null) {
            return bytes + 1 + p.filter.bits() / 8;
        }
        return bytes + 2 + p.values.stream().mapToInt(v -> 2 + utf8Bytes(v)).sum();
    }

    /** Returns the encoded summary. */
    public static byte[] encode(Summary s) {
        int size = HEADER_BYTES + 4 + 4 + utf8Bytes(s.site()) + utf8Bytes(s.block()) + 25 + 2 + 16 * s.boxes().size()
                + 16 * s.spans().size() + 2;
        for (var e : s.properties().entrySet()) {
            size += 2 + utf8Bytes(e.getKey()) + encodedBytes(e.getValue());
        }
        ByteBuffer to = ByteBuffer.allocate(size);
        to.putInt(MAGIC).put((byte) VERSION).put((byte) KIND_FULL).putInt(size);
        writeText(to, s.site());
        writeText(to, s.block());
        to.putLong(s.epoch()).putLong(s.version()).putLong(s.rows());
        to.put((byte) ((s.hasUnlocatedRows() ? FLAG_UNLOCATED_ROWS : 0) | (s.hasUntimedRows() ? FLAG_UNTIMED_ROWS : 0)
                | (s.complete() ? FLAG_COMPLETE : 0)));
        to.put((byte) s.boxes().size());
        s.boxes().forEach(b -> to.putInt(b.west()).putInt(b.width()).putInt(b.south()).putInt(b.north()));
        to.put((byte) s.spans().size());
        s.spans().forEach(x -> to.putLong(x.from()).putLong(x.to()));
        to.putShort((short) s.properties().size());
        s.properties().forEach((name, p) -> {
            writeText(to, name);
            writeProperty(to, p);
        });
        to.putInt(crc(to.array(), to.position()));
        return to.array();
    }

    private static void writeProperty(ByteBuffer to, PropertySummary p) {
        to.put((byte) ((p.missing ? FLAG_MISSING : 0) | (p.unordered ? FLAG_UNORDERED : 0)
                | (p.numbers ? FLAG_NUMBERS : 0) | (p.texts ? FLAG_TEXTS : 0)
                | (p.smallestNumber <= p.largestNumber ? FLAG_NUMBER_EXTENT : 0)
                | (p.firstText != null ? FLAG_TEXT_EXTENT : 0)
                | (p.values == null ? FLAG_FILTER : 0)));
        if (p.smallestNumber <= p.largestNumber) {
            to.putDouble(p.smallestNumber).putDouble(p.largestNumber);
        }
        if (p.firstText != null) {
            writeText(to, p.firstText);
            writeText(to, p.lastText);
            writeText(to, p.firstFoldedText);
            writeText(to, p.lastFoldedText);
        }
        if (p.values == null) {
            to.put((byte) Integer.numberOfTrailingZeros(p.filter.bits()));
            for (long w : p.filter.words()) {
                to.putLong(w);
            }
        } else {
            to.putShort((short) p.values.size());
            p.values.forEach(v -> writeText(to, v));
        }
    }

    private static void writeText(ByteBuffer to, String s) {
        byte[] bytes = s.getBytes(StandardCharsets.UTF_8);
        to.putShort((short) bytes.length).put(bytes);
    }

    private static int crc(byte[] bytes, int length) {
        var crc = new CRC32C();
        crc.update(bytes, 0, length);
        return (int) crc.getValue();
    }

    /**
     * Decodes a summary.
     *
     * @throws UnreadableSummaryException if the bytes are not a summary that this version can read
     */
    public static Summary decode(byte[] bytes) throws UnreadableSummaryException {
        if (bytes.length > SummaryLimits.MAX_BYTES) {
            throw new UnreadableSummaryException(Fault.TOO_LARGE, "the summary has " + bytes.length
                    + " bytes; at most " + SummaryLimits.MAX_BYTES + " are allowed");
        }
        ByteBuffer from = ByteBuffer.wrap(bytes);
        if (bytes.length < HEADER_BYTES + 4 || from.getInt() != MAGIC) {
            throw new UnreadableSummaryException(Fault.TORN, "the " + bytes.length
                    + " bytes don't start with the magic number and header of a summary");
        }
        int version = from.get();
        int kind = from.get();
        int size = from.getInt();
        if (version != VERSION) { // a later version may use another checksum
            throw new UnreadableSummaryException(Fault.UNKNOWN_VERSION, "the summary has format version "
                    + version + "; this program reads version " + VERSION);
        }
        if (size != bytes.length || ByteBuffer.wrap(bytes, size - 4, 4).getInt() != crc(bytes, size - 4)) {
            throw new UnreadableSummaryException(Fault.TORN,
                    "the summary is torn: " + bytes.length + " bytes, its header states " + size
                            + ", or the checksum does not match");
        }
        if (kind != KIND_FULL) {
            throw new UnreadableSummaryException(Fault.UNKNOWN_KIND, "the summary is of kind " + kind
                    + "; this program reads kind " + KIND_FULL);
        }
        try {
            Summary s = readBody(from);
            if (from.remaining() != 4) {
                throw malformed(from.remaining() - 4 + " bytes after the last property");
            }
            return s;
        } catch (BufferUnderflowException | IllegalArgumentException e) {
            throw malformed(e.getMessage());
        }
    }

    private static UnreadableSummaryException malformed(String what) {
        return new UnreadableSummaryException(Fault.MALFORMED, "the summary is malformed: " + what);
    }

    private static Summary readBody(ByteBuffer from) throws UnreadableSummaryException {
        String site = readText(from);
        String block = readText(from);
        long epoch = from.getLong();
        long version = from.getLong();
        long rows = from.getLong();
        int flags = from.get();
        var boxes = new ArrayList<Box>();
        for (int n = checkedCount(from, from.get() & 0xff, 16); n > 0; n--) {
            boxes.add(new Box(from.getInt(), from.getInt(), from.getInt(), from.getInt()));
        }
        var spans = new ArrayList<TimeSpan>();
        for (int n = checkedCount(from, from.get() & 0xff, 16); n > 0; n--) {
            spans.add(new TimeSpan(from.getLong(), from.getLong()));
        }
        var properties = new TreeMap<String, PropertySummary>();
        for (int n = checkedCount(from, from.getShort() & 0xffff, 6); n > 0; n--) {
            if (properties.put(readText(from), readProperty(from)) != null) {
                throw malformed("a property occurs twice");
            }
        }
        if (rows < 0) {
            throw malformed("number of rows is " + rows + ", below 0");
        }
        return new Summary(site, block, epoch, version, rows, (flags & FLAG_COMPLETE) != 0,
                (flags & FLAG_UNLOCATED_ROWS) != 0, (flags & FLAG_UNTIMED_ROWS) != 0, boxes, spans, properties);
    }

    private static PropertySummary readProperty(ByteBuffer from) throws UnreadableSummaryException {
        var p = new PropertySummary();
        int flags = from.get();
        p.missing = (flags & FLAG_MISSING) != 0;
        p.unordered = (flags & FLAG_UNORDERED) != 0;
        p.numbers = (flags & FLAG_NUMBERS) != 0;
        p.texts = (flags & FLAG_TEXTS) != 0;
        if ((flags & FLAG_NUMBER_EXTENT) != 0) {
            p.smallestNumber = from.getDouble();
            p.largestNumber = from.getDouble();
            if (!(p.smallestNumber <= p.largestNumber)) {
                throw malformed("smallest number " + p.smallestNumber + " is above the largest, " + p.largestNumber);
            }
        }
        if ((flags & FLAG_TEXT_EXTENT) != 0) {
            p.firstText = readText(from);
            p.lastText = readText(from);
            p.firstFoldedText = readText(from);
            p.lastFoldedText = readText(from);
        } else if (p.texts && !p.unordered) {
            throw malformed("a property with texts has no text extent");
        }
        if ((flags & FLAG_FILTER) != 0) {
            int bits = from.get();
            if (bits < 8 || bits > 20) {
                throw malformed("a filter has 2^" + bits + " bits; 2^8 to 2^20 are allowed");
            }
            var words = new long[checkedCount(from, 1 << (bits - 6), 8)];
            for (int i = 0; i < words.length; i++) {
                words[i] = from.getLong();
            }
            p.values = null;
            p.filter = KeyBloomFilter.ofWords(words);
            return p;
        }
        p.values = new TreeSet<>();
        for (int n = checkedCount(from, from.getShort() & 0xffff, 3); n > 0; n--) {
            p.values.add(readText(from));
        }
        return p;
    }

    /** Returns {@code n} if that many items of at least {@code itemBytes} bytes each can remain. */
    private static int checkedCount(ByteBuffer from, int n, int itemBytes) throws UnreadableSummaryException {
        if (n > from.remaining() / itemBytes) {
            throw malformed(n + " items of " + itemBytes + " bytes or more are announced, " + from.remaining()
                    + " bytes remain");
        }
        return n;
    }

    private static String readText(ByteBuffer from) throws UnreadableSummaryException {
        int length = checkedCount(from, from.getShort() & 0xffff, 1);
        var bytes = new byte[length];
        from.get(bytes);
        return new String(bytes, StandardCharsets.UTF_8);
    }
}

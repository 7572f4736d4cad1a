package wallmoor.bans;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.zip.CRC32;

/**
 * The stored form of bans: a line {@code wallmoor-bans 1 COUNT CRC32}, the checksum being that of all bytes after this
 * line, then a line for each mark, {@code out AT ID} or {@code in AT ID}. Each line ends with LF; all is ASCII.
 */
public final class BanFileCodec {
    /** The longest id, as the endpoint list has it. */
    public static final int MAX_ID_LENGTH = 128;
    private static final int MAX_HEADER_BYTES = 64;
    /** "out", the time, two blanks and the line's end. */
    private static final int MAX_REST_OF_LINE_BYTES = 24;
    /** The most that is read: as many marks as are stored, each as long as may be (some 150 KiB). */
    public static final int MAX_BYTES = MAX_HEADER_BYTES
            + BanRegister.MAX_MARKS * (MAX_ID_LENGTH + MAX_REST_OF_LINE_BYTES);
    private static final Pattern ID = Pattern.compile("[!-~]{1," + MAX_ID_LENGTH + "}");
    private static final Pattern HEADER = Pattern
            .compile("wallmoor-bans ([0-9]{1,9}) (0|[1-9][0-9]{0,8}) ([0-9a-f]{8})");
    private static final Pattern LINE = Pattern.compile("(out|in) (0|[1-9][0-9]{0,17}) (.+)");
    private static final String BANNED = "out";
    private static final String LIFTED = "in";
    private static final String VERSION = "1";
    private static final String REMEDY = "; to get rid of it remove the file:"
            + " what this process holds is then written again";

    private BanFileCodec() {}

    /** Whether this can be a worker's id: visible ASCII without blanks, {@value #MAX_ID_LENGTH} characters at most. */
    public static boolean isWorkerId(String text) {
        return ID.matcher(text).matches();
    }

    /** The bytes to store. */
    public static byte[] encode(Collection<BanMark> marks) {
        var lines = new StringBuilder();
        for (BanMark m : marks) {
            lines.append(m.banned() ? BANNED : LIFTED).append(' ').append(m.atMicros()).append(' ').append(m.id())
                    .append('\n');
        }
        String header = "wallmoor-bans " + VERSION + " " + marks.size() + " " + checksum(lines.toString()) + "\n";
        return (header + lines).getBytes(StandardCharsets.ISO_8859_1);
    }

    /**
     * The marks that were stored.
     *
     * @throws BanFileException if any of the bytes are wrong: then none of them is used
     */
    public static List<BanMark> decode(byte[] bytes) throws BanFileException {
        if (bytes.length > MAX_BYTES) {
            throw new BanFileException("is longer than " + MAX_BYTES + " bytes, which no file of bans is" + REMEDY);
        }
        String text = new String(bytes, StandardCharsets.ISO_8859_1);
        int end = text.indexOf('\n');
        Matcher header = HEADER.matcher(end < 0 ? "" : text.substring(0, end));
        if (!header.matches()) {
            throw new BanFileException("is no file of bans, or the beginning of one" + REMEDY);
        }
        if (!header.group(1).equals(VERSION)) {
            throw new BanFileException("has form " + header.group(1) + ", this program reads form " + VERSION
                    + ": start the version that wrote it, or make the calls again" + REMEDY);
        }
        String rest = text.substring(end + 1);
        if (!header.group(3).equals(checksum(rest))) {
            throw new BanFileException("is torn: its sum is not that of its lines; look for bans that are missing in"
                    + " gatherer.workers_excluded and make those calls again" + REMEDY);
        }
        List<BanMark> marks = decodeLines(rest);
        if (marks.size() != Integer.parseInt(header.group(2))) {
            throw new BanFileException("is torn: it should have " + header.group(2) + " marks and has " + marks.size()
                    + "; make the calls again" + REMEDY);
        }
        return marks;
    }

    private static List<BanMark> decodeLines(String rest) throws BanFileException {
        var marks = new ArrayList<BanMark>();
        var ids = new HashSet<String>();
        for (int from = 0; from < rest.length();) {
            int end = rest.indexOf('\n', from);
            Matcher line = LINE.matcher(rest.substring(from, end < 0 ? rest.length() : end));
            if (end < 0 || !line.matches() || !isWorkerId(line.group(3)) || !ids.add(line.group(3))) {
                throw new BanFileException("line " + (marks.size() + 2) + " is not of this program's writing" + REMEDY);
            }
            marks.add(new BanMark(line.group(3), line.group(1).equals(BANNED), Long.parseLong(line.group(2))));
            from = end + 1;
        }
        return marks;
    }

    private static String checksum(String lines) {
        var crc = new CRC32();
        crc.update(lines.getBytes(StandardCharsets.ISO_8859_1));
        return HexFormat.of().toHexDigits((int) crc.getValue());
    }
}

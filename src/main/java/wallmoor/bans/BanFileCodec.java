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
 * The format of a ban file: a header line {@code wallmoor-bans 1 COUNT CRC32}, whose checksum covers all bytes after
 * this line, then a line for each mark: {@code out AT ID} for a ban, {@code in AT ID} for a lifted one. Each line ends
 * with LF; the file is ASCII.
 */
public final class BanFileCodec {
    /** The maximum length of a worker's id, as in the endpoint list. */
    public static final int MAX_ID_LENGTH = 128;
    private static final int MAX_HEADER_BYTES = 64;
    /** Covers "out", the time, two blanks and the end of the line. */
    private static final int MAX_REST_OF_LINE_BYTES = 24;
    /** The maximum length of a file: the maximum number of marks, each of maximum length (some 150 KiB). */
    public static final int MAX_BYTES = MAX_HEADER_BYTES
            + BanRegister.MAX_MARKS * (MAX_ID_LENGTH + MAX_REST_OF_LINE_BYTES);
    private static final Pattern ID = Pattern.compile("[!-~]{1," + MAX_ID_LENGTH + "}");
    private static final Pattern HEADER = Pattern
            .compile("wallmoor-bans ([0-9]{1,9}) (0|[1-9][0-9]{0,8}) ([0-9a-f]{8})");
    private static final Pattern LINE = Pattern.compile("(out|in) (0|[1-9][0-9]{0,17}) (.+)");
    private static final String BANNED = "out";
    private static final String LIFTED = "in";
    private static final String VERSION = "1";
    private static final String REMEDY = "; to discard the file, remove it:"
            + " this process then writes its own bans again";

    private BanFileCodec() {}

    /** Returns whether a text is a valid worker id: 1 to {@value #MAX_ID_LENGTH} visible ASCII characters. */
    public static boolean isWorkerId(String text) {
        return ID.matcher(text).matches();
    }

    /** Encodes marks as the contents of a ban file. */
    public static byte[] encode(Collection<BanMark> marks) {
        var lines = new StringBuilder();
        for (BanMark mark : marks) {
            lines.append(mark.banned() ? BANNED : LIFTED).append(' ').append(mark.atMicros()).append(' ')
                    .append(mark.id()).append('\n');
        }
        String header = "wallmoor-bans " + VERSION + " " + marks.size() + " " + checksum(lines.toString()) + "\n";
        return (header + lines).getBytes(StandardCharsets.ISO_8859_1);
    }

    /**
     * Decodes the contents of a ban file.
     *
     * @throws BanFileException if any part of the file is invalid; then none of it is used
     */
    public static List<BanMark> decode(byte[] bytes) throws BanFileException {
        if (bytes.length > MAX_BYTES) {
            throw new BanFileException("is longer than the maximum of " + MAX_BYTES + " bytes" + REMEDY);
        }
        String text = new String(bytes, StandardCharsets.ISO_8859_1);
        int end = text.indexOf('\n');
        Matcher header = HEADER.matcher(end < 0 ? "" : text.substring(0, end));
        if (!header.matches()) {
            throw new BanFileException("is not a ban file or is truncated: its first line must be"
                    + " \"wallmoor-bans VERSION COUNT CRC32\"" + REMEDY);
        }
        if (!header.group(1).equals(VERSION)) {
            throw new BanFileException("has format version " + header.group(1) + ", this program reads version "
                    + VERSION + ": start the program version that wrote it, or repeat the bans" + REMEDY);
        }
        String body = text.substring(end + 1);
        if (!header.group(3).equals(checksum(body))) {
            throw new BanFileException("is torn: the checksum in its first line does not match its other lines; check"
                    + " gatherer.workers_excluded for missing bans and repeat those" + REMEDY);
        }
        List<BanMark> marks = decodeLines(body);
        if (marks.size() != Integer.parseInt(header.group(2))) {
            throw new BanFileException("is torn: it has " + marks.size() + " marks, its first line says "
                    + header.group(2) + "; repeat the bans" + REMEDY);
        }
        return marks;
    }

    private static List<BanMark> decodeLines(String body) throws BanFileException {
        var marks = new ArrayList<BanMark>();
        var ids = new HashSet<String>();
        for (int start = 0; start < body.length();) {
            int end = body.indexOf('\n', start);
            Matcher line = LINE.matcher(body.substring(start, end < 0 ? body.length() : end));
            if (end < 0 || !line.matches() || !isWorkerId(line.group(3)) || !ids.add(line.group(3))) {
                throw new BanFileException("is invalid in line " + (marks.size() + 2) + ", which must be \"out\" or"
                        + " \"in\", a time in microseconds and a worker id that occurs only once" + REMEDY);
            }
            marks.add(new BanMark(line.group(3), line.group(1).equals(BANNED), Long.parseLong(line.group(2))));
            start = end + 1;
        }
        return marks;
    }

    private static String checksum(String lines) {
        var crc = new CRC32();
        crc.update(lines.getBytes(StandardCharsets.ISO_8859_1));
        return HexFormat.of().toHexDigits((int) crc.getValue());
    }
}

package wallmoor.decision;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * What one root sends another, as bytes. The first byte is the kind; a message of another kind or length reads as
 * empty, so that roots of different versions can live side by side. There are no decisions here.
 */
final class PeerMessage {
    private static final byte BAN = 1;
    private static final byte LEAVES = 2;
    private static final int TAG_BITS = 12;
    private static final int CODE_BITS = 4;
    /** Entries beyond this many are left out: a message holds 256 bytes. */
    private static final int MOST_ENTRIES = 127;

    private PeerMessage() {}

    /** Queries of this signature kill leaves; refuse them for so long (microseconds). */
    record Ban(int signature, long lasts) {}

    /**
     * What a root tells of the leaf of this tag: that it is ill; or its parts out there, as far as the code goes; or
     * how an answer's latency stood to the typical one, in steps of which two double it.
     */
    record Entry(int tag, int code) {
        private static final int FIRST_RATIO = 7;
        private static final int TYPICAL = 9;
        private static final int ILL = 15;

        static Entry ill(String leaf) {
            return new Entry(tagOf(leaf), ILL);
        }

        static Entry parts(String leaf, int out) {
            return new Entry(tagOf(leaf), Math.min(out, FIRST_RATIO - 1));
        }

        static Entry answer(String leaf, double ratio) {
            long steps = Math.round(2 * Math.log(ratio) / Math.log(2));
            return new Entry(tagOf(leaf), (int) Math.max(FIRST_RATIO, Math.min(ILL - 1, TYPICAL + steps)));
        }

        boolean isIll() {
            return code == ILL;
        }

        boolean isAnswer() {
            return code >= FIRST_RATIO && code < ILL;
        }

        /** The latency ratio of an answer. */
        double ratio() {
            return Math.pow(2, (code - TYPICAL) / 2.0);
        }
    }

    /** A short number for a leaf, the same at all roots; now and then two leaves share one. */
    static int tagOf(String leaf) {
        int hash = leaf.hashCode();
        return (hash ^ hash >>> TAG_BITS) & (1 << TAG_BITS) - 1;
    }

    static byte[] write(Ban ban) {
        return ByteBuffer.allocate(9).put(BAN).putInt(ban.signature).putInt((int) (ban.lasts / 1000)).array();
    }

    static byte[] write(List<Entry> entries) {
        int count = Math.min(entries.size(), MOST_ENTRIES);
        var message = ByteBuffer.allocate(1 + 2 * count).put(LEAVES);
        entries.subList(0, count).forEach(e -> message.putShort((short) (e.tag << CODE_BITS | e.code)));
        return message.array();
    }

    /** The ban in a message, or null. */
    static Ban ban(byte[] contents) {
        if (contents.length != 9 || contents[0] != BAN) {
            return null;
        }
        var message = ByteBuffer.wrap(contents, 1, 8);
        return new Ban(message.getInt(), 1000L * Math.max(0, message.getInt()));
    }

    /** The entries in a message; none if it is of another kind. */
    static List<Entry> entries(byte[] contents) {
        var entries = new ArrayList<Entry>();
        if (contents.length % 2 == 1 && contents[0] == LEAVES) {
            var message = ByteBuffer.wrap(contents, 1, contents.length - 1);
            while (message.hasRemaining()) {
                int both = message.getShort() & 0xffff;
                entries.add(new Entry(both >> CODE_BITS, both & (1 << CODE_BITS) - 1));
            }
        }
        return entries;
    }
}

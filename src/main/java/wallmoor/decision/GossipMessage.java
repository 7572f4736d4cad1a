package wallmoor.decision;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * What one root sends another, as bytes. The first byte is the kind; a message of another kind or length reads as
 * empty, so that roots of different versions can live side by side. There are no decisions here.
 */
final class GossipMessage {
    private static final byte BAN = 1;
    private static final byte LEAVES = 2;
    private static final int TAG_BITS = 12;
    private static final int CODE_BITS = 4;
    /** Entries beyond this many are left out: a message holds 256 bytes. */
    private static final int MOST_ENTRIES = 127;

    private GossipMessage() {}

    /** Queries of this signature kill leaves; refuse them for so long (microseconds). */
    record QuarantineNotice(int signature, long duration) {}

    /**
     * What a root tells of the leaf of this tag: that it is ill; or its parts out there, as far as the code goes; or
     * how an answer's latency stood to the typical one, in steps of which two double it.
     */
    record WorkerReport(int tag, int code) {
        private static final int FIRST_RATIO = 7;
        private static final int TYPICAL = 9;
        private static final int ILL = 15;

        static WorkerReport ejected(String leaf) {
            return new WorkerReport(workerTag(leaf), ILL);
        }

        static WorkerReport inFlight(String leaf, int out) {
            return new WorkerReport(workerTag(leaf), Math.min(out, FIRST_RATIO - 1));
        }

        static WorkerReport latency(String leaf, double ratio) {
            long steps = Math.round(2 * Math.log(ratio) / Math.log(2));
            return new WorkerReport(workerTag(leaf), (int) Math.max(FIRST_RATIO, Math.min(ILL - 1, TYPICAL + steps)));
        }

        boolean isEjected() {
            return code == ILL;
        }

        boolean isLatency() {
            return code >= FIRST_RATIO && code < ILL;
        }

        /** The latency ratio of an answer. */
        double latencyRatio() {
            return Math.pow(2, (code - TYPICAL) / 2.0);
        }
    }

    /** A short number for a leaf, the same at all roots; now and then two leaves share one. */
    static int workerTag(String leaf) {
        int hash = leaf.hashCode();
        return (hash ^ hash >>> TAG_BITS) & (1 << TAG_BITS) - 1;
    }

    static byte[] write(QuarantineNotice ban) {
        return ByteBuffer.allocate(9).put(BAN).putInt(ban.signature).putInt((int) (ban.duration / 1000)).array();
    }

    static byte[] write(List<WorkerReport> entries) {
        int count = Math.min(entries.size(), MOST_ENTRIES);
        var message = ByteBuffer.allocate(1 + 2 * count).put(LEAVES);
        entries.subList(0, count).forEach(e -> message.putShort((short) (e.tag << CODE_BITS | e.code)));
        return message.array();
    }

    /** The ban in a message, or null. */
    static QuarantineNotice readQuarantine(byte[] contents) {
        if (contents.length != 9 || contents[0] != BAN) {
            return null;
        }
        var message = ByteBuffer.wrap(contents, 1, 8);
        return new QuarantineNotice(message.getInt(), 1000L * Math.max(0, message.getInt()));
    }

    /** The entries in a message; none if it is of another kind. */
    static List<WorkerReport> readReports(byte[] contents) {
        var entries = new ArrayList<WorkerReport>();
        if (contents.length % 2 == 1 && contents[0] == LEAVES) {
            var message = ByteBuffer.wrap(contents, 1, contents.length - 1);
            while (message.hasRemaining()) {
                int both = message.getShort() & 0xffff;
                entries.add(new WorkerReport(both >> CODE_BITS, both & (1 << CODE_BITS) - 1));
            }
        }
        return entries;
    }
}

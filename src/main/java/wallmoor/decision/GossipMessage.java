package wallmoor.decision;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * What one gatherer sends another, as bytes. The first byte is the kind; a message of another kind or length reads as
 * empty, so that gatherers of different versions can live side by side. There are no decisions here.
 */
final class GossipMessage {
    /** The kind of a quarantine notice: the kind, the signature in 4 bytes, the milliseconds in 4 bytes. */
    private static final byte QUARANTINE = 1;
    /** The kind of reports on workers: the kind, then 2 bytes a report. */
    private static final byte WORKERS = 2;
    private static final int QUARANTINE_BYTES = 9;
    private static final int REPORT_BYTES = 2;
    private static final int TAG_BITS = 12;
    private static final int CODE_BITS = 4;
    /** Reports beyond this many are left out: a message holds 256 bytes. */
    private static final int MAX_REPORTS = 127;
    private static final int MICROS_PER_MILLI = 1000;

    private GossipMessage() {}

    /** Queries of this signature crash workers; reject them for so long (microseconds). */
    record QuarantineNotice(int signature, long duration) {}

    /**
     * What a gatherer tells of the worker of this tag: that it is ejected; or its parts in flight there, as far as the
     * code goes; or how an answer's latency stood to the typical one, in steps of which two double it.
     */
    record WorkerReport(int tag, int code) {
        private static final int FIRST_RATIO = 7;
        private static final int TYPICAL_RATIO = 9;
        private static final int EJECTED = 15;

        static WorkerReport ejected(String worker) {
            return new WorkerReport(workerTag(worker), EJECTED);
        }

        static WorkerReport inFlight(String worker, int parts) {
            return new WorkerReport(workerTag(worker), Math.min(parts, FIRST_RATIO - 1));
        }

        static WorkerReport latency(String worker, double ratio) {
            long steps = Math.round(2 * Math.log(ratio) / Math.log(2));
            long code = Math.max(FIRST_RATIO, Math.min(EJECTED - 1, TYPICAL_RATIO + steps));
            return new WorkerReport(workerTag(worker), (int) code);
        }

        boolean isEjected() {
            return code == EJECTED;
        }

        boolean isLatency() {
            return code >= FIRST_RATIO && code < EJECTED;
        }

        /** The latency of an answer over the typical one. */
        double latencyRatio() {
            return Math.pow(2, (code - TYPICAL_RATIO) / 2.0);
        }
    }

    /** A short number for a worker, the same at all gatherers; now and then two workers share one. */
    static int workerTag(String worker) {
        int hash = worker.hashCode();
        return (hash ^ hash >>> TAG_BITS) & (1 << TAG_BITS) - 1;
    }

    /** The bytes of a notice. */
    static byte[] write(QuarantineNotice notice) {
        return ByteBuffer.allocate(QUARANTINE_BYTES).put(QUARANTINE).putInt(notice.signature)
                .putInt((int) (notice.duration / MICROS_PER_MILLI)).array();
    }

    /** The bytes of reports, of the first ones if there are too many. */
    static byte[] write(List<WorkerReport> reports) {
        int count = Math.min(reports.size(), MAX_REPORTS);
        var message = ByteBuffer.allocate(1 + REPORT_BYTES * count).put(WORKERS);
        reports.subList(0, count).forEach(r -> message.putShort((short) (r.tag << CODE_BITS | r.code)));
        return message.array();
    }

    /** The notice in a message, or null. */
    static QuarantineNotice readQuarantine(byte[] message) {
        if (message.length != QUARANTINE_BYTES || message[0] != QUARANTINE) {
            return null;
        }
        var contents = ByteBuffer.wrap(message, 1, QUARANTINE_BYTES - 1);
        return new QuarantineNotice(contents.getInt(), (long) MICROS_PER_MILLI * Math.max(0, contents.getInt()));
    }

    /** The reports in a message; none if it is of another kind. */
    static List<WorkerReport> readReports(byte[] message) {
        var reports = new ArrayList<WorkerReport>();
        if (message.length % REPORT_BYTES == 1 && message[0] == WORKERS) {
            var contents = ByteBuffer.wrap(message, 1, message.length - 1);
            while (contents.hasRemaining()) {
                int both = contents.getShort() & 0xffff;
                reports.add(new WorkerReport(both >> CODE_BITS, both & (1 << CODE_BITS) - 1));
            }
        }
        return reports;
    }
}

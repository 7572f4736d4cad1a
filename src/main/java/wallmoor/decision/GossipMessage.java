package wallmoor.decision;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * The binary format of messages between gatherers. The first byte is the kind. A message of an unknown kind or length
 * reads as empty, so that gatherers of different versions can run side by side. This class makes no decisions.
 */
final class GossipMessage {
    /** The kind byte of a quarantine notice, which is followed by the signature and the milliseconds, 4 bytes each. */
    private static final byte QUARANTINE_KIND = 1;
    /** The kind byte of worker reports, which is followed by 2 bytes for each report. */
    private static final byte WORKER_REPORTS_KIND = 2;
    private static final int QUARANTINE_BYTES = 9;
    private static final int REPORT_BYTES = 2;
    private static final int TAG_BITS = 12;
    private static final int CODE_BITS = 4;
    /** The maximum number of reports in a message, which holds 256 bytes; further reports are dropped. */
    private static final int MAX_REPORTS = 127;
    private static final int MICROS_PER_MILLI = 1000;

    private GossipMessage() {}

    /**
     * A notice that queries of a signature crash workers.
     *
     * @param signature see {@link TrackedQuery#signature}
     * @param duration  time for which such queries are rejected (microseconds)
     */
    record QuarantineNotice(int signature, long duration) {}

    /**
     * A report on one worker. Codes up to {@link #MIN_LATENCY_CODE} - 1 are the gatherer's parts in flight there,
     * capped at that value. Codes from {@link #MIN_LATENCY_CODE} to {@link #EJECTED_CODE} - 1 are the ratio of an
     * answer's latency to the typical latency on a logarithmic scale, where two steps double it. {@link #EJECTED_CODE}
     * means that the worker is ejected.
     *
     * @param tag  the worker's tag, see {@link #workerTag}
     * @param code the content of the report
     */
    record WorkerReport(int tag, int code) {
        private static final int MIN_LATENCY_CODE = 7;
        private static final int TYPICAL_LATENCY_CODE = 9;
        private static final int EJECTED_CODE = 15;

        static WorkerReport ejected(String worker) {
            return new WorkerReport(workerTag(worker), EJECTED_CODE);
        }

        static WorkerReport inFlight(String worker, int parts) {
            return new WorkerReport(workerTag(worker), Math.min(parts, MIN_LATENCY_CODE - 1));
        }

        static WorkerReport latency(String worker, double ratio) {
            long steps = Math.round(2 * Math.log(ratio) / Math.log(2));
            long code = Math.max(MIN_LATENCY_CODE, Math.min(EJECTED_CODE - 1, TYPICAL_LATENCY_CODE + steps));
            return new WorkerReport(workerTag(worker), (int) code);
        }

        boolean isEjected() {
            return code == EJECTED_CODE;
        }

        boolean isLatency() {
            return code >= MIN_LATENCY_CODE && code < EJECTED_CODE;
        }

        /** Returns the ratio of the answer's latency to the typical latency. */
        double latencyRatio() {
            return Math.pow(2, (code - TYPICAL_LATENCY_CODE) / 2.0);
        }
    }

    /** Returns a 12-bit hash of a worker's id, which is the same at all gatherers. Two workers may share a tag. */
    static int workerTag(String worker) {
        int hash = worker.hashCode();
        return (hash ^ hash >>> TAG_BITS) & (1 << TAG_BITS) - 1;
    }

    /** Encodes a quarantine notice. */
    static byte[] write(QuarantineNotice notice) {
        return ByteBuffer.allocate(QUARANTINE_BYTES).put(QUARANTINE_KIND).putInt(notice.signature)
                .putInt((int) (notice.duration / MICROS_PER_MILLI)).array();
    }

    /** Encodes reports; those beyond {@link #MAX_REPORTS} are dropped. */
    static byte[] write(List<WorkerReport> reports) {
        int count = Math.min(reports.size(), MAX_REPORTS);
        var message = ByteBuffer.allocate(1 + REPORT_BYTES * count).put(WORKER_REPORTS_KIND);
        reports.subList(0, count).forEach(r -> message.putShort((short) (r.tag << CODE_BITS | r.code)));
        return message.array();
    }

    /** Returns the quarantine notice in a message, or null if it holds none. */
    static QuarantineNotice readQuarantine(byte[] message) {
        if (message.length != QUARANTINE_BYTES || message[0] != QUARANTINE_KIND) {
            return null;
        }
        var contents = ByteBuffer.wrap(message, 1, QUARANTINE_BYTES - 1);
        return new QuarantineNotice(contents.getInt(), (long) MICROS_PER_MILLI * Math.max(0, contents.getInt()));
    }

    /** Returns the reports in a message; empty if it is of another kind. */
    static List<WorkerReport> readReports(byte[] message) {
        var reports = new ArrayList<WorkerReport>();
        if (message.length % REPORT_BYTES == 1 && message[0] == WORKER_REPORTS_KIND) {
            var contents = ByteBuffer.wrap(message, 1, message.length - 1);
            while (contents.hasRemaining()) {
                int encoded = contents.getShort() & 0xffff;
                reports.add(new WorkerReport(encoded >> CODE_BITS, encoded & (1 << CODE_BITS) - 1));
            }
        }
        return reports;
    }
}

package wallmoor.frames;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import wallmoor.core.Attempt;

/** A call that is about to be written: its frame and the attempts in it. */
final class PreparedCall {
    private static final char CALL = 'Q';
    private static final int INITIAL_BYTES = 256;

    private final List<Attempt> attempts = new ArrayList<>();
    private final ByteArrayOutputStream contents = new ByteArrayOutputStream(INITIAL_BYTES);

    /**
     * Appends an attempt: the id of its part, its shard, the milliseconds left to answer it, the query's idempotency
     * key if it has one, and the query's text. Every attempt of a query, a retry or a parallel one too, has the same
     * key.
     *
     * @param now the time on the gatherer's clock
     */
    void add(Attempt attempt, long now) {
        attempts.add(attempt);
        byte[] queryText = (byte[]) attempt.query().attachment();
        String key = attempt.query().idempotencyKey();
        String head = attempt.partId() + " " + attempt.shard() + " d=" + attempt.remainingMillis(now)
                + (key == null ? "" : ",k=" + key) + " " + queryText.length + "\n";
        contents.writeBytes(head.getBytes(StandardCharsets.ISO_8859_1));
        contents.writeBytes(queryText);
    }

    /** Returns the attempts in the call. */
    List<Attempt> attempts() {
        return attempts;
    }

    /** Returns the encoded frame. */
    byte[] frame() {
        return FrameEncoder.encode(CALL, contents.toByteArray());
    }
}

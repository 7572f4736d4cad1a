package wallmoor.frames;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import wallmoor.core.Attempt;

/** A call that is about to be written: its frame, and the attempts in it. */
final class PreparedCall {
    private static final char LETTER = 'Q';
    private static final int INITIAL_BYTES = 256;

    private final List<Attempt> attempts = new ArrayList<>();
    private final ByteArrayOutputStream contents = new ByteArrayOutputStream(INITIAL_BYTES);

    /** Adds an attempt: the id of its part, its shard, the milliseconds that it has from now, and what is asked. */
    void add(Attempt attempt, long now) {
        attempts.add(attempt);
        byte[] asked = (byte[]) attempt.query().attachment();
        String head = attempt.partId() + " " + attempt.shard() + " d=" + attempt.remainingMillis(now) + " "
                + asked.length + "\n";
        contents.writeBytes(head.getBytes(StandardCharsets.ISO_8859_1));
        contents.writeBytes(asked);
    }

    /** The attempts in it. */
    List<Attempt> attempts() {
        return attempts;
    }

    /** Its frame. */
    byte[] frame() {
        return FrameEncoder.frame(LETTER, contents.toByteArray());
    }
}

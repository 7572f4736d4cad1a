package wallmoor.frames;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import wallmoor.core.AttemptOutcome;
import wallmoor.http.ByteSlice;

/**
 * What a worker says became of a part.
 *
 * @param value null unless it was served
 */
record AnswerFrame(String part, AttemptOutcome outcome, byte[] value) {
    private static final int FIELDS = 4;

    /** Reads a frame of letter A: a line {@code ID END SCORE REPORT}, then the value. Null if it is none. */
    static AnswerFrame of(ByteSlice frame) {
        byte[] bytes = frame.buffer();
        int from = frame.from() + 1;
        int end = frame.from() + frame.length();
        int lineEnd = from;
        while (lineEnd < end && bytes[lineEnd] != '\n') {
            lineEnd++;
        }
        if (lineEnd == end) {
            return null;
        }
        String[] line = new String(bytes, from, lineEnd - from, StandardCharsets.ISO_8859_1).split(" ", -1);
        if (line.length < FIELDS) {
            return null;
        }
        return switch (line[1]) {
            case "ok" -> new AnswerFrame(line[0], AttemptOutcome.SERVED, Arrays.copyOfRange(bytes, lineEnd + 1, end));
            case "err" -> new AnswerFrame(line[0], AttemptOutcome.ERROR, null);
            case "busy" -> new AnswerFrame(line[0], AttemptOutcome.REJECTED, null);
            default -> null;
        };
    }
}

package wallmoor.frames;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import wallmoor.core.AttemptOutcome;
import wallmoor.http.ByteSlice;

/**
 * A worker's answer to one part.
 *
 * @param part    the id of the part
 * @param outcome the result that the worker reports for the part
 * @param value   the value of the part; null unless the outcome is {@link AttemptOutcome#SERVED}
 */
record AnswerFrame(String part, AttemptOutcome outcome, byte[] value) {
    private static final int MIN_FIELDS = 4;

    /**
     * Parses a frame of type A: a line {@code ID END SCORE REPORT}, followed by the value. Returns null if the frame is
     * malformed.
     */
    static AnswerFrame parse(ByteSlice frame) {
        byte[] bytes = frame.buffer();
        int lineStart = frame.from() + 1;
        int end = frame.from() + frame.length();
        int lineEnd = lineStart;
        while (lineEnd < end && bytes[lineEnd] != '\n') {
            lineEnd++;
        }
        if (lineEnd == end) {
            return null;
        }
        String[] fields = new String(bytes, lineStart, lineEnd - lineStart, StandardCharsets.ISO_8859_1)
                .split(" ", -1);
        if (fields.length < MIN_FIELDS) {
            return null;
        }
        return switch (fields[1]) {
            case "ok" -> new AnswerFrame(fields[0], AttemptOutcome.SERVED, Arrays.copyOfRange(bytes, lineEnd + 1, end));
            case "err" -> new AnswerFrame(fields[0], AttemptOutcome.ERROR, null);
            case "busy" -> new AnswerFrame(fields[0], AttemptOutcome.REJECTED, null);
            default -> null;
        };
    }
}

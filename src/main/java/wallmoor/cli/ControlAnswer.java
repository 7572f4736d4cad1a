package wallmoor.cli;

import java.io.IOException;
import java.util.List;
import wallmoor.config.ConfigException;
import wallmoor.control.ControlClient;
import wallmoor.json.Json;

/**
 * What a gatherer answered at its control port.
 *
 * @param exitCode 0 where it answered; else why it did not was printed, and nothing else is here
 * @param lines    of the answer, JSON objects
 * @param first    the first line's object, or null where the answer has none
 */
record ControlAnswer(int exitCode, List<String> lines, Json.Obj first) {
    /** The gatherer could not be asked. */
    static final int NO_ANSWER = 4;

    /** Asks; prints what went wrong. */
    static ControlAnswer ask(ControlPortOptions options, String request, long timeoutMillis, int maxBytes) {
        try {
            String answer = ControlClient.ask(options.address(), request, timeoutMillis, maxBytes);
            List<String> lines = answer.lines().filter(line -> !line.isEmpty()).toList();
            Json.Obj first = lines.isEmpty() ? null : ControlClient.parse(lines.get(0));
            if (first != null && first.get("fault") != null) {
                return failed(Commands.USAGE, "the gatherer " + first.text("fault"));
            }
            return new ControlAnswer(0, lines, first);
        } catch (ConfigException e) {
            return failed(Commands.USAGE, e.getMessage());
        } catch (IOException | Json.Malformed e) {
            return unanswered(e.getMessage());
        }
    }

    /** Prints that the gatherer can't be asked, and why. */
    static ControlAnswer unanswered(String reason) {
        return failed(NO_ANSWER, "the gatherer can't be asked: " + reason);
    }

    /** Prints why the answer is of no use. */
    static ControlAnswer failed(int exitCode, String reason) {
        System.err.println("wallmoor: " + reason);
        return new ControlAnswer(exitCode, List.of(), null);
    }
}

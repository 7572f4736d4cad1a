package wallmoor.cli;

import java.io.IOException;
import java.util.List;
import wallmoor.config.ConfigException;
import wallmoor.control.ControlClient;
import wallmoor.json.Json;

/**
 * A gatherer's response at its control port.
 *
 * @param exitCode 0 if the gatherer responded; otherwise the reason was printed and the other fields are empty
 * @param lines    the non-empty lines of the response, each a JSON object
 * @param first    the object on the first line, or null if the response has no lines
 */
record ControlAnswer(int exitCode, List<String> lines, Json.Obj first) {
    /** Exit code if the gatherer could not be reached or its response could not be parsed. */
    static final int NO_ANSWER = 4;

    /**
     * Sends a request and returns the response; prints the reason if that fails.
     *
     * @param timeoutMillis how long to wait for each piece of the response
     * @param maxBytes      the length at which the response is cut off
     */
    static ControlAnswer ask(ControlPortOptions options, String request, long timeoutMillis, int maxBytes) {
        try {
            String response = ControlClient.ask(options.address(), request, timeoutMillis, maxBytes);
            List<String> lines = response.lines().filter(line -> !line.isEmpty()).toList();
            Json.Obj first = lines.isEmpty() ? null : ControlClient.parse(lines.get(0));
            if (first != null && first.get("fault") != null) {
                return failed(Commands.USAGE_ERROR, "the gatherer " + first.text("fault"));
            }
            return new ControlAnswer(0, lines, first);
        } catch (ConfigException e) {
            return failed(Commands.USAGE_ERROR, e.getMessage());
        } catch (IOException | Json.Malformed e) {
            return unanswered(e.getMessage());
        }
    }

    /** Prints why no valid response came from the gatherer. */
    static ControlAnswer unanswered(String reason) {
        return failed(NO_ANSWER, "the request to the gatherer failed: " + reason);
    }

    /** Prints the reason of a failure and returns an answer without lines. */
    static ControlAnswer failed(int exitCode, String reason) {
        System.err.println("wallmoor: " + reason);
        return new ControlAnswer(exitCode, List.of(), null);
    }
}

package wallmoor.cli;

import wallmoor.json.Json;

/** A request to a control port that takes JSON: a command and its fields, on one line. */
final class ControlRequest {
    private final String command;
    private final StringBuilder json = new StringBuilder("{");

    ControlRequest(String command) {
        this.command = command;
        with("do", command);
    }

    String command() {
        return command;
    }

    /** Appends a field with a text value. */
    ControlRequest with(String field, String value) {
        appendName(field);
        Json.quote(json, value);
        return this;
    }

    /** Appends a field with an integer value. */
    ControlRequest with(String field, long value) {
        appendName(field);
        json.append(value);
        return this;
    }

    private void appendName(String field) {
        if (json.length() > 1) {
            json.append(',');
        }
        Json.quote(json, field);
        json.append(':');
    }

    String toJson() {
        return json + "}";
    }
}

package wallmoor.cli;

import wallmoor.json.Json;

/** A request to a control port that is asked in JSON: a command and its fields, on one line. */
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

    ControlRequest with(String field, String value) {
        name(field);
        Json.quote(json, value);
        return this;
    }

    ControlRequest with(String field, long value) {
        name(field);
        json.append(value);
        return this;
    }

    private void name(String field) {
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

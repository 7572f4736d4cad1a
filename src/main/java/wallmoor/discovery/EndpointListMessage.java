package wallmoor.discovery;

import java.util.ArrayList;
import java.util.List;
import wallmoor.config.LaunchConfig;
import wallmoor.core.WorkerEndpoint;
import wallmoor.endpoints.SourceEndpoint;
import wallmoor.http.ByteSlice;
import wallmoor.json.Json;

/**
 * A message from discovery: the full list, or a delta, at a revision.
 *
 * @param revision          the revision to resume a watch from, or {@link #UNKNOWN_REVISION} if the message has none
 * @param complete          whether this is the full list
 * @param unreadableMembers how many members were skipped as they have no id
 */
record EndpointListMessage(long revision, boolean complete, List<SourceEndpoint> endpoints, int unreadableMembers) {
    /** The revision of a message without one; a watch can't be resumed from it. */
    static final long UNKNOWN_REVISION = -1;
    /** The empty list, used if the launch configuration has no initial list. */
    static final EndpointListMessage EMPTY = new EndpointListMessage(0, true, List.of(), 0);
    /** Start times from here on count as long ago; half of the largest that fits into a long in microseconds. */
    private static final double MAX_START_MILLIS = Long.MAX_VALUE / 2000.0;
    private static final long MICROS_PER_MILLI = 1_000;
    private static final int UNKNOWN_CELL = -1;

    /**
     * Parses an object of a watch, or a full list.
     *
     * @throws MalformedEndpointListException if the text is not a JSON object, or is a full list without members
     */
    static EndpointListMessage parse(ByteSlice text, LaunchConfig launch) throws MalformedEndpointListException {
        try {
            Json.Obj json = Json.object(text.buffer(), text.from(), text.length());
            // must not be taken for an empty list, which would remove all endpoints
            if (isComplete(json) && json.list("members") == null) {
                throw new MalformedEndpointListException("full list has no array \"members\"");
            }
            return of(json, launch);
        } catch (Json.Malformed e) {
            throw new MalformedEndpointListException(e.getMessage());
        }
    }

    /** Reads a parsed message; members without an id are skipped and counted. */
    static EndpointListMessage of(Json.Obj json, LaunchConfig launch) {
        var endpoints = new ArrayList<SourceEndpoint>();
        int unreadableMembers = 0;
        List<?> members = json.list("members");
        for (Object member : members == null ? List.of() : members) {
            if (member instanceof Json.Obj m && m.text("id") != null) {
                endpoints.add(endpoint(m, launch));
            } else {
                unreadableMembers++;
            }
        }
        return new EndpointListMessage((long) json.number("revision", UNKNOWN_REVISION), isComplete(json), endpoints,
                unreadableMembers);
    }

    private static boolean isComplete(Json.Obj json) {
        return Boolean.TRUE.equals(json.get("complete"));
    }

    boolean hasRevision() {
        return revision != UNKNOWN_REVISION;
    }

    /** Returns the revision as text for the log and for operators. */
    String version() {
        return hasRevision() ? "revision " + revision : "no revision";
    }

    /** Returns the endpoints that are to get no new parts. */
    List<SourceEndpoint> notServing() {
        var notServing = new ArrayList<SourceEndpoint>();
        for (SourceEndpoint endpoint : endpoints) {
            if (endpoint.state() != WorkerEndpoint.EndpointState.SERVING) {
                notServing.add(endpoint);
            }
        }
        return notServing;
    }

    private static SourceEndpoint endpoint(Json.Obj m, LaunchConfig launch) {
        return new SourceEndpoint(m.text("id"), String.valueOf(m.text("host_port")),
                indexOf(launch.zones(), m.text("locality")), indexOf(launch.kinds(), m.text("flavor")),
                (int) m.number("cell", UNKNOWN_CELL), state(String.valueOf(m.text("phase"))), m.number("size", 1),
                upSince(m.number("up_since_ms", 0)), 0);
    }

    /** Returns the state for a phase. An unknown phase counts as draining, so that the endpoint gets no new parts. */
    private static WorkerEndpoint.EndpointState state(String phase) {
        return switch (phase) {
            case "SERVING" -> WorkerEndpoint.EndpointState.SERVING;
            case "DELETED" -> WorkerEndpoint.EndpointState.GONE;
            default -> WorkerEndpoint.EndpointState.DRAINING;
        };
    }

    /** Returns the index of a name, or 0 if the name is missing or unknown. */
    private static int indexOf(List<String> names, String name) {
        return name == null ? 0 : Math.max(0, names.indexOf(name)); // indexOf(null) throws on immutable lists
    }

    /** Returns a start time in microseconds, or 0 for long ago if it is out of range. */
    private static long upSince(double millis) {
        return millis > 0 && millis < MAX_START_MILLIS ? MICROS_PER_MILLI * (long) millis : 0;
    }
}

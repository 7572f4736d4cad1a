package wallmoor.discovery;

import java.util.ArrayList;
import java.util.List;
import wallmoor.config.LaunchConfig;
import wallmoor.core.WorkerEndpoint;
import wallmoor.endpoints.SourceEndpoint;
import wallmoor.http.ByteSlice;
import wallmoor.json.Json;

/**
 * One message of discovery: the full list, or a delta, at a revision.
 *
 * @param revision   to resume a watch from; {@link #UNKNOWN_REVISION} where none is given
 * @param complete   whether this is the full list
 * @param unreadable how many members could not be read: they have no id
 */
record EndpointListMessage(long revision, boolean complete, List<SourceEndpoint> endpoints, int unreadable) {
    /** No revision: a watch can't be resumed from it. */
    static final long UNKNOWN_REVISION = -1;
    /** The empty list of a program that is started without one. */
    static final EndpointListMessage NONE = new EndpointListMessage(0, true, List.of(), 0);
    private static final double LATEST_START_MILLIS = Long.MAX_VALUE / 2000.0;
    private static final long MICROS_PER_MILLI = 1_000;
    private static final int UNKNOWN_CELL = -1;

    /**
     * Reads an object of a watch, or a full list.
     *
     * @throws MalformedEndpointListException if it is no JSON object, or a full list without members
     */
    static EndpointListMessage parse(ByteSlice text, LaunchConfig launch) throws MalformedEndpointListException {
        try {
            Json.Obj json = Json.object(text.buffer(), text.from(), text.length());
            if (isComplete(json) && json.list("members") == null) { // an empty one would say that all are gone
                throw new MalformedEndpointListException("a whole list without members");
            }
            return of(json, launch);
        } catch (Json.Malformed e) {
            throw new MalformedEndpointListException(e.getMessage());
        }
    }

    static EndpointListMessage of(Json.Obj json, LaunchConfig launch) {
        var endpoints = new ArrayList<SourceEndpoint>();
        int unreadable = 0;
        List<?> members = json.list("members");
        for (Object member : members == null ? List.of() : members) {
            if (member instanceof Json.Obj m && m.text("id") != null) {
                endpoints.add(endpoint(m, launch));
            } else {
                unreadable++;
            }
        }
        return new EndpointListMessage((long) json.number("revision", UNKNOWN_REVISION), isComplete(json), endpoints,
                unreadable);
    }

    private static boolean isComplete(Json.Obj json) {
        return Boolean.TRUE.equals(json.get("complete"));
    }

    boolean hasRevision() {
        return revision != UNKNOWN_REVISION;
    }

    /** The revision in words, for the log and the operators. */
    String version() {
        return hasRevision() ? "revision " + revision : "no revision";
    }

    /** The endpoints that are to get nothing new. */
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

    /** A phase that is not known is taken for one that wants nothing new. */
    private static WorkerEndpoint.EndpointState state(String phase) {
        return switch (phase) {
            case "SERVING" -> WorkerEndpoint.EndpointState.SERVING;
            case "DELETED" -> WorkerEndpoint.EndpointState.GONE;
            default -> WorkerEndpoint.EndpointState.DRAINING;
        };
    }

    /** The first, where none is given or it is not known. */
    private static int indexOf(List<String> names, String name) {
        return name == null ? 0 : Math.max(0, names.indexOf(name)); // lists that can't be changed throw at null
    }

    /** In microseconds; a time that can't be is taken for long ago. */
    private static long upSince(double millis) {
        return millis > 0 && millis < LATEST_START_MILLIS ? MICROS_PER_MILLI * (long) millis : 0;
    }
}

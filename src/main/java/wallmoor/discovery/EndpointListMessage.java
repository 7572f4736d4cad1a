package wallmoor.discovery;

import java.util.ArrayList;
import java.util.List;
import wallmoor.config.LaunchConfig;
import wallmoor.core.WorkerEndpoint;
import wallmoor.endpoints.SourceEndpoint;
import wallmoor.http.ByteSlice;
import wallmoor.json.Json;

/**
 * Discovery's form of the list, read into entries.
 *
 * @param revision  the version, to resume a watch from; {@link #UNKNOWN_REVISION} where none is told
 * @param complete  whether this is the whole list
 * @param unreadable    how many members could not be read: they have no id
 */
record EndpointListMessage(long revision, boolean complete, List<SourceEndpoint> endpoints, int unreadable) {
    /** No version: a watch can't be resumed by it. */
    static final long UNKNOWN_REVISION = -1;
    private static final double LATEST_START_MILLIS = Long.MAX_VALUE / 2000.0;

    /** Reads an object of a watch or of a whole list. */
    static EndpointListMessage parse(ByteSlice text, LaunchConfig launch) throws MalformedEndpointListException {
        try {
            Json.Obj json = Json.object(text.buffer(), text.from(), text.length());
            if (Boolean.TRUE.equals(json.get("complete")) && json.list("members") == null) {
                // an empty one would say that all are gone
                throw new MalformedEndpointListException("a whole list without members");
            }
            return of(json, launch);
        } catch (Json.Malformed e) {
            throw new MalformedEndpointListException(e.getMessage());
        }
    }

    static EndpointListMessage of(Json.Obj json, LaunchConfig launch) {
        var members = new ArrayList<SourceEndpoint>();
        int unread = 0;
        List<?> entries = json.list("members");
        for (Object entry : entries == null ? List.of() : entries) {
            if (entry instanceof Json.Obj m && m.text("id") != null) {
                members.add(member(m, launch));
            } else {
                unread++;
            }
        }
        return new EndpointListMessage((long) json.number("revision", UNKNOWN_REVISION),
                Boolean.TRUE.equals(json.get("complete")),
                members, unread);
    }

    /** The version in words, for the log and the operators. */
    String version() {
        return revision == UNKNOWN_REVISION ? "no revision" : "revision " + revision;
    }

    /** The entries of nodes that are to get nothing new. */
    List<SourceEndpoint> notServing() {
        return endpoints.stream().filter(e -> e.state() != WorkerEndpoint.EndpointState.SERVING).toList();
    }

    /** One entry. A phase that is not known is taken for one that wants nothing new. */
    private static SourceEndpoint member(Json.Obj m, LaunchConfig launch) {
        String phase = String.valueOf(m.text("phase"));
        WorkerEndpoint.EndpointState state = switch (phase) {
            case "SERVING" -> WorkerEndpoint.EndpointState.SERVING;
            case "DELETED" -> WorkerEndpoint.EndpointState.GONE;
            default -> WorkerEndpoint.EndpointState.DRAINING;
        };
        return new SourceEndpoint(m.text("id"), String.valueOf(m.text("host_port")),
                place(launch.zones(), m.text("locality")), place(launch.kinds(), m.text("flavor")),
                (int) m.number("cell", -1), state,
                m.number("size", 1), upSince(m.number("up_since_ms", 0)), 0);
    }

    /** The first, where none is told or it is not known. */
    private static int place(List<String> names, String name) {
        return name == null ? 0 : Math.max(0, names.indexOf(name)); // lists that can't be changed throw at null
    }

    /** In microseconds; a time that can't be is taken for long ago. */
    private static long upSince(double millis) {
        return millis > 0 && millis < LATEST_START_MILLIS ? 1000 * (long) millis : 0;
    }
}

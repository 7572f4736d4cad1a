package wallmoor.discovery;

import java.util.ArrayList;
import java.util.List;
import wallmoor.config.Launch;
import wallmoor.core.Member;
import wallmoor.http.Slice;
import wallmoor.json.Json;
import wallmoor.membership.Entry;

/**
 * Discovery's form of the list, read into entries.
 *
 * @param revision  the version, to resume a watch from; {@link #NO_REVISION} where none is told
 * @param complete  whether this is the whole list
 * @param unread    how many members could not be read: they have no id
 */
record Members(long revision, boolean complete, List<Entry> entries, int unread) {
    /** No version: a watch can't be resumed by it. */
    static final long NO_REVISION = -1;
    private static final double LATEST_START_MILLIS = Long.MAX_VALUE / 2000.0;

    /** Reads an object of a watch or of a whole list. */
    static Members read(Slice text, Launch launch) throws MalformedListException {
        try {
            Json.Obj json = Json.object(text.buffer(), text.from(), text.length());
            if (Boolean.TRUE.equals(json.get("complete")) && json.list("members") == null) {
                // an empty one would say that all are gone
                throw new MalformedListException("a whole list without members");
            }
            return of(json, launch);
        } catch (Json.Malformed e) {
            throw new MalformedListException(e.getMessage());
        }
    }

    static Members of(Json.Obj json, Launch launch) {
        var members = new ArrayList<Entry>();
        int unread = 0;
        List<?> entries = json.list("members");
        for (Object entry : entries == null ? List.of() : entries) {
            if (entry instanceof Json.Obj m && m.text("id") != null) {
                members.add(member(m, launch));
            } else {
                unread++;
            }
        }
        return new Members((long) json.number("revision", NO_REVISION), Boolean.TRUE.equals(json.get("complete")),
                members, unread);
    }

    /** The version in words, for the log and the operators. */
    String version() {
        return revision == NO_REVISION ? "no revision" : "revision " + revision;
    }

    /** The entries of nodes that are to get nothing new. */
    List<Entry> notServing() {
        return entries.stream().filter(e -> e.state() != Member.State.SERVING).toList();
    }

    /** One entry. A phase that is not known is taken for one that wants nothing new. */
    private static Entry member(Json.Obj m, Launch launch) {
        String phase = String.valueOf(m.text("phase"));
        Member.State state = switch (phase) {
            case "SERVING" -> Member.State.SERVING;
            case "DELETED" -> Member.State.GONE;
            default -> Member.State.DRAINING;
        };
        return new Entry(m.text("id"), String.valueOf(m.text("host_port")),
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

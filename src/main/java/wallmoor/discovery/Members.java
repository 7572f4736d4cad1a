package wallmoor.discovery;

import java.util.ArrayList;
import java.util.List;
import wallmoor.config.Launch;
import wallmoor.core.Member;
import wallmoor.json.Json;
import wallmoor.membership.Entry;

/**
 * Discovery's form of the list, read into entries.
 *
 * @param revision  the version, to resume a watch from
 * @param complete  whether this is the whole list
 */
record Members(long revision, boolean complete, List<Entry> entries) {

    static Members of(Json.Obj json, Launch launch) throws Json.Malformed {
        var members = new ArrayList<Entry>();
        List<?> entries = json.list("members");
        for (Object entry : entries == null ? List.of() : entries) {
            if (entry instanceof Json.Obj m && m.text("id") != null) {
                members.add(member(m, launch));
            }
        }
        return new Members((long) json.number("revision", 0), Boolean.TRUE.equals(json.get("complete")), members);
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
                Math.max(0, launch.zones().indexOf(m.text("locality"))),
                Math.max(0, launch.kinds().indexOf(m.text("flavor"))), (int) m.number("cell", -1), state,
                m.number("size", 1), 1000 * (long) m.number("up_since_ms", 0), 0);
    }
}

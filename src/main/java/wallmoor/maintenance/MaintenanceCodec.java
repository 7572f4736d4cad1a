package wallmoor.maintenance;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Locale;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import wallmoor.json.Json;
import wallmoor.rules.RuleBody;

/** The state as the document {@code maintenance}, whose fields {@code versions.Kinds.MAINTENANCE} checks. */
public final class MaintenanceCodec {
    private static final String WISH = "wish.";

    private MaintenanceCodec() {}

    /** As a document's body. */
    public static String body(MaintenanceState state) {
        var to = names(new StringBuilder("{\"away\":"), state.unavailable());
        Json.quote(to.append(",\"order\":"), names(new StringBuilder(), state.order()).toString());
        state.requests().forEach((id, s) -> {
            Json.quote(to.append(','), WISH + id);
            Json.quote(to.append(':'), text(s));
        });
        return to.append(",\"held\":").append(state.held()).append('}').toString();
    }

    /** As a document's fallback: what is away stays so, and nothing begins by one that can't be sure. */
    public static String fallback(MaintenanceState state) {
        return names(new StringBuilder("{\"away\":"), state.unavailable()).append(",\"held\":true}").toString();
    }

    /**
     * Reads a whole body that its kind has checked.
     *
     * @throws IllegalArgumentException where a wish or the order is none
     */
    public static MaintenanceState decode(RuleBody body) {
        SortedMap<String, RequestStatus> wishes = new TreeMap<>();
        for (String field : body.fields().keySet()) {
            if (field.startsWith(WISH)) {
                String id = field.substring(WISH.length());
                wishes.put(id, standing(id, object(body.text(field))));
            }
        }
        String order = body.text("order");
        List<String> ids = order == null ? List.of() : texts(object("{\"order\":" + order + "}"), "order");
        return new MaintenanceState(wishes, ids, body.flag("held", false));
    }

    private static Json.Obj object(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        try {
            return Json.object(bytes, 0, bytes.length);
        } catch (Json.Malformed e) {
            throw new IllegalArgumentException("no wish and no order: " + text, e);
        }
    }

    private static List<String> texts(Json.Obj o, String name) {
        return o.list(name) == null ? List.of() : o.list(name).stream().map(String::valueOf).toList();
    }

    private static RequestStatus standing(String id, Json.Obj o) {
        if (o.text("machine") == null || o.text("reason") == null || o.text("who") == null || o.text("step") == null
                || o.text("life") == null) {
            throw new IllegalArgumentException("the wish " + id + " lacks its machine, reason, who, step or life");
        }
        var wish = new MaintenanceRequest(id, o.text("machine"), (long) o.number("lasts", 0),
                o.get("by") == null ? MaintenanceRequest.NO_DEADLINE
                        : (long) o.number("by", 0),
                o.text("reason"), o.text("who"), new TreeSet<>(texts(o, "after")),
                new TreeSet<>(texts(o, "before")));
        var why = new ArrayList<MaintenanceConstraint>();
        for (Object r : o.list("why") == null ? List.of() : o.list("why")) {
            var reason = (Json.Obj) r;
            why.add(new MaintenanceConstraint(MaintenanceRule.valueOf(reason.text("rule").toUpperCase(Locale.ROOT)),
                    texts(reason, "machines"),
                    texts(reason, "blocks"), reason.text("budget")));
        }
        return new RequestStatus(wish,
                MaintenanceStage.valueOf(o.text("step").toUpperCase(Locale.ROOT).replace(' ', '_')),
                (long) o.number("since", 0), o.text("life"), Boolean.TRUE.equals(o.get("ours")),
                Boolean.TRUE.equals(o.get("back")),
                Boolean.TRUE.equals(o.get("hold")), why);
    }

    private static String text(RequestStatus s) {
        var to = new StringBuilder("{\"machine\":");
        Json.quote(to, s.request().machine());
        to.append(",\"lasts\":").append(s.request().workMillis());
        if (s.request().deadline() != MaintenanceRequest.NO_DEADLINE) {
            to.append(",\"by\":").append(s.request().deadline());
        }
        Json.quote(to.append(",\"reason\":"), s.request().reason());
        Json.quote(to.append(",\"who\":"), s.request().requester());
        names(to.append(",\"after\":"), s.request().after());
        names(to.append(",\"before\":"), s.request().before());
        Json.quote(to.append(",\"step\":"), s.stage().word());
        Json.quote(to.append(",\"since\":").append(s.since()).append(",\"life\":"), s.incarnation());
        to.append(",\"ours\":").append(s.drainedByOrder()).append(",\"back\":").append(s.returned())
                .append(",\"hold\":")
                .append(s.heldByStaff());
        return reasons(to.append(",\"why\":"), s.reasons()).append('}').toString();
    }

    /** Reasons as a list of objects. */
    public static StringBuilder reasons(StringBuilder to, List<MaintenanceConstraint> reasons) {
        to.append('[');
        for (MaintenanceConstraint r : reasons) {
            Json.quote(to.append(to.charAt(to.length() - 1) == '[' ? "" : ",").append("{\"rule\":"), r.rule().word());
            names(to.append(",\"machines\":"), r.machines());
            names(to.append(",\"blocks\":"), r.blocks());
            Json.quote(to.append(",\"budget\":"), r.budget());
            to.append('}');
        }
        return to.append(']');
    }

    /** Names as a list. */
    public static StringBuilder names(StringBuilder to, Collection<String> names) {
        to.append('[');
        names.forEach(n -> Json.quote(to.append(to.charAt(to.length() - 1) == '[' ? "" : ","), n));
        return to.append(']');
    }
}

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

/**
 * Encodes and decodes a {@link MaintenanceState} as the body and the fallback of the document {@code maintenance}. Its
 * fields are validated by {@code rules.DocumentSchemas.MAINTENANCE}.
 */
public final class MaintenanceCodec {
    private static final String REQUEST_PREFIX = "wish.";

    private MaintenanceCodec() {}

    /** Returns the body of the document. */
    public static String body(MaintenanceState state) {
        StringBuilder json = names(new StringBuilder("{\"away\":"), state.unavailable());
        Json.quote(json.append(",\"order\":"), names(new StringBuilder(), state.order()).toString());
        state.requests().forEach((id, status) -> {
            Json.quote(json.append(','), REQUEST_PREFIX + id);
            Json.quote(json.append(':'), encode(status));
        });
        return json.append(",\"held\":").append(state.held()).append('}').toString();
    }

    /**
     * Returns the fallback of the document, for processes without a lease: unavailable machines stay unavailable, and
     * no request begins.
     */
    public static String fallback(MaintenanceState state) {
        return names(new StringBuilder("{\"away\":"), state.unavailable()).append(",\"held\":true}").toString();
    }

    /**
     * Decodes a body that the schema of the document has validated.
     *
     * @throws UnreadableMaintenanceException if a request or the order cannot be decoded
     */
    public static MaintenanceState decode(RuleBody body) {
        SortedMap<String, RequestStatus> requests = new TreeMap<>();
        for (String field : body.fields().keySet()) {
            if (field.startsWith(REQUEST_PREFIX)) {
                String id = field.substring(REQUEST_PREFIX.length());
                requests.put(id, decodeStatus(id, parse(body.text(field))));
            }
        }
        String order = body.text("order");
        List<String> ids = order == null ? List.of() : texts(parse("{\"order\":" + order + "}"), "order");
        return new MaintenanceState(requests, ids, body.flag("held", false));
    }

    private static Json.Obj parse(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        try {
            return Json.object(bytes, 0, bytes.length);
        } catch (Json.Malformed e) {
            throw new UnreadableMaintenanceException("request or order is not a valid JSON object: " + text, e);
        }
    }

    private static List<String> texts(Json.Obj json, String name) {
        return json.list(name) == null ? List.of() : json.list(name).stream().map(String::valueOf).toList();
    }

    private static RequestStatus decodeStatus(String id, Json.Obj json) {
        if (json.text("machine") == null || json.text("reason") == null || json.text("who") == null
                || json.text("step") == null || json.text("life") == null) {
            throw new UnreadableMaintenanceException(
                    "request \"" + id + "\" lacks one of the fields machine, reason, who, step and life");
        }
        try {
            return new RequestStatus(decodeRequest(id, json), decodeStage(json.text("step")),
                    (long) json.number("since", 0), json.text("life"), flag(json, "ours"), flag(json, "back"),
                    flag(json, "hold"), decodeReasons(json));
        } catch (IllegalArgumentException | ClassCastException | NullPointerException e) {
            // unknown stage or rule, or invalid request
            throw new UnreadableMaintenanceException("request \"" + id + "\" cannot be decoded: " + e.getMessage(), e);
        }
    }

    private static MaintenanceRequest decodeRequest(String id, Json.Obj json) {
        long deadline = json.get("by") == null ? MaintenanceRequest.NO_DEADLINE : (long) json.number("by", 0);
        return new MaintenanceRequest(id, json.text("machine"), (long) json.number("lasts", 0), deadline,
                json.text("reason"), json.text("who"), new TreeSet<>(texts(json, "after")),
                new TreeSet<>(texts(json, "before")));
    }

    private static MaintenanceStage decodeStage(String word) {
        return MaintenanceStage.valueOf(word.toUpperCase(Locale.ROOT).replace(' ', '_'));
    }

    private static boolean flag(Json.Obj json, String name) {
        return Boolean.TRUE.equals(json.get(name));
    }

    private static List<MaintenanceConstraint> decodeReasons(Json.Obj json) {
        var reasons = new ArrayList<MaintenanceConstraint>();
        for (Object entry : json.list("why") == null ? List.of() : json.list("why")) {
            var reason = (Json.Obj) entry;
            reasons.add(new MaintenanceConstraint(
                    MaintenanceRule.valueOf(reason.text("rule").toUpperCase(Locale.ROOT)),
                    texts(reason, "machines"), texts(reason, "blocks"), reason.text("budget")));
        }
        return reasons;
    }

    private static String encode(RequestStatus status) {
        MaintenanceRequest request = status.request();
        var json = new StringBuilder("{\"machine\":");
        Json.quote(json, request.machine());
        json.append(",\"lasts\":").append(request.workMillis());
        if (request.deadline() != MaintenanceRequest.NO_DEADLINE) {
            json.append(",\"by\":").append(request.deadline());
        }
        Json.quote(json.append(",\"reason\":"), request.reason());
        Json.quote(json.append(",\"who\":"), request.requester());
        names(json.append(",\"after\":"), request.after());
        names(json.append(",\"before\":"), request.before());
        Json.quote(json.append(",\"step\":"), status.stage().word());
        Json.quote(json.append(",\"since\":").append(status.since()).append(",\"life\":"), status.incarnation());
        json.append(",\"ours\":").append(status.drainedByOrder()).append(",\"back\":").append(status.returned())
                .append(",\"hold\":").append(status.heldByStaff());
        return reasons(json.append(",\"why\":"), status.reasons()).append('}').toString();
    }

    /** Appends constraints as a JSON array of objects. */
    public static StringBuilder reasons(StringBuilder json, List<MaintenanceConstraint> reasons) {
        json.append('[');
        for (MaintenanceConstraint reason : reasons) {
            Json.quote(json.append(separator(json)).append("{\"rule\":"), reason.rule().word());
            names(json.append(",\"machines\":"), reason.machines());
            names(json.append(",\"blocks\":"), reason.blocks());
            Json.quote(json.append(",\"budget\":"), reason.budget());
            json.append('}');
        }
        return json.append(']');
    }

    /** Appends names as a JSON array of strings. */
    public static StringBuilder names(StringBuilder json, Collection<String> names) {
        json.append('[');
        names.forEach(name -> Json.quote(json.append(separator(json)), name));
        return json.append(']');
    }

    private static String separator(StringBuilder json) {
        return json.charAt(json.length() - 1) == '[' ? "" : ",";
    }
}

package wallmoor.moves.http;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;
import wallmoor.json.Json;
import wallmoor.moves.Ask;
import wallmoor.moves.Held;
import wallmoor.moves.Room;
import wallmoor.moves.Said;

/** Requests and answers as JSON. What can't be read is an {@link IllegalArgumentException} that says so. */
public final class Forms {
    /** An answer: of all blocks of a node, some 120 bytes each, 50,000 at most. */
    public static final int MOST_BYTES = 8 << 20;

    /** The requests' names on the wire: they stay, whatever the types are called. */
    private static final Map<Class<? extends Ask>, String> WORDS = Map.ofEntries(
            Map.entry(Ask.Look.class, "look"),
            Map.entry(Ask.Prepare.class, "prepare"),
            Map.entry(Ask.Pull.class, "pull"),
            Map.entry(Ask.Sums.class, "sums"),
            Map.entry(Ask.Seal.class, "seal"),
            Map.entry(Ask.Fence.class, "fence"),
            Map.entry(Ask.Unfence.class, "unfence"),
            Map.entry(Ask.Admit.class, "admit"),
            Map.entry(Ask.Discard.class, "discard"),
            Map.entry(Ask.Drop.class, "drop"),
            Map.entry(Ask.Tell.class, "tell"));

    /** A request as it came. */
    public record Request(String block, long number, Ask ask) {}

    private Forms() {}

    /** A request. */
    public static String write(String block, long number, Ask ask) {
        var to = new StringBuilder("{\"block\":");
        Json.quote(to, block);
        to.append(",\"number\":").append(number).append(",\"ask\":\"").append(WORDS.get(ask.getClass())).append('"');
        if (ask instanceof Ask.Prepare p) {
            to.append(",\"bytes\":").append(p.bytes()).append(",\"chunk\":").append(p.chunk()).append(",\"mb\":")
                    .append(p.mb())
                    .append(",\"most_mb\":").append(p.mostMb());
        } else if (ask instanceof Ask.Pull p) {
            Json.quote(to.append(",\"from\":"), p.from());
            to.append(",\"index\":").append(p.index()).append(",\"most_mb\":").append(p.mostMb());
        } else if (ask instanceof Ask.Sums s) {
            to.append(",\"chunk\":").append(s.chunk());
        } else if (ask instanceof Ask.Fence f) {
            to.append(",\"chunk\":").append(f.chunk());
        } else if (ask instanceof Ask.Seal s) {
            list(to.append(",\"sums\":"), s.sums(), x -> '"' + x + '"');
        }
        return to.append('}').toString();
    }

    /** Reads a request. */
    public static Request readRequest(byte[] bytes) {
        return read(bytes,
                o -> new Request(o.text("block"), whole(o, "number"), switch (String.valueOf(o.text("ask"))) {
                    case "look" -> new Ask.Look();
                    case "prepare" -> new Ask.Prepare(whole(o, "bytes"), (int) whole(o, "chunk"), whole(o, "mb"),
                            whole(o, "most_mb"));
                    case "pull" -> new Ask.Pull(o.text("from"), (int) whole(o, "index"), whole(o, "most_mb"));
                    case "sums" -> new Ask.Sums((int) whole(o, "chunk"));
                    case "seal" -> new Ask.Seal(o.list("sums").stream().map(String.class::cast).toList());
                    case "fence" -> new Ask.Fence((int) whole(o, "chunk"));
                    case "unfence" -> new Ask.Unfence();
                    case "admit" -> new Ask.Admit();
                    case "discard" -> new Ask.Discard();
                    case "drop" -> new Ask.Drop();
                    case "tell" -> new Ask.Tell();
                    default -> throw new IllegalArgumentException("no request: " + o.text("ask"));
                }));
    }

    /** An answer. */
    public static String write(Said said) {
        var to = new StringBuilder("{\"verdict\":\"").append(said.verdict()).append("\",\"held\":")
                .append(write(said.held()))
                .append(",\"room\":[").append(said.room().diskMb()).append(',').append(said.room().otherMb())
                .append(',')
                .append(said.room().heldMb()).append("],\"load\":").append(said.load()).append(",\"sums\":");
        list(to, said.sums(), x -> '"' + x + '"');
        to.append(",\"holds\":{");
        said.holds().forEach((b, h) -> {
            Json.quote(to.append(to.charAt(to.length() - 1) == '{' ? "" : ","), b);
            to.append(':').append(write(h));
        });
        return to.append("}}").toString();
    }

    /** Reads an answer. */
    public static Said readSaid(byte[] bytes) {
        return read(bytes, o -> {
            List<?> room = o.list("room");
            Map<String, Held> holds = new TreeMap<>();
            ((Json.Obj) o.get("holds")).members().forEach((b, h) -> holds.put(b, held((Json.Obj) h)));
            return new Said(Said.Verdict.valueOf(o.text("verdict")), held((Json.Obj) o.get("held")),
                    new Room((Long) room.get(0), (Long) room.get(1), (Long) room.get(2)),
                    o.list("sums").stream().map(String.class::cast).toList(), o.number("load", 0), holds);
        });
    }

    /** What is held of a block, also as a node may keep it. */
    public static String write(Held h) {
        var to = new StringBuilder("{\"status\":\"").append(h.status()).append("\",\"number\":").append(h.number())
                .append(",\"bytes\":").append(h.bytes()).append(",\"chunk\":").append(h.chunk()).append(",\"mb\":")
                .append(h.mb())
                .append(",\"floor\":").append(h.floor()).append(",\"missing\":");
        list(to, h.missing(), String::valueOf);
        return to.append('}').toString();
    }

    /** Reads what is held. */
    public static Held readHeld(byte[] bytes) {
        return read(bytes, Forms::held);
    }

    private static Held held(Json.Obj o) {
        var missing = new TreeSet<Integer>();
        o.list("missing").forEach(n -> missing.add(((Long) n).intValue()));
        return new Held(Held.Status.valueOf(o.text("status")), whole(o, "number"), whole(o, "bytes"),
                (int) whole(o, "chunk"),
                whole(o, "mb"), missing, whole(o, "floor"));
    }

    private static long whole(Json.Obj o, String name) {
        return (Long) o.get(name);
    }

    private static <T> T read(byte[] bytes, Function<Json.Obj, T> as) {
        try {
            return as.apply(Json.object(bytes, 0, bytes.length));
        } catch (Json.Malformed | NullPointerException | ClassCastException | IndexOutOfBoundsException e) {
            throw new IllegalArgumentException("no form of moves: " + new String(bytes, 0, Math.min(200, bytes.length),
                    StandardCharsets.UTF_8), e);
        }
    }

    private static <T> void list(StringBuilder to, Collection<T> items, Function<T, String> each) {
        var texts = new ArrayList<String>();
        items.forEach(i -> texts.add(each.apply(i)));
        to.append('[').append(String.join(",", texts)).append(']');
    }
}

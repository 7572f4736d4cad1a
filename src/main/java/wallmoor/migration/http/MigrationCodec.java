package wallmoor.migration.http;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;
import wallmoor.json.Json;
import wallmoor.migration.DiskSpace;
import wallmoor.migration.ReplicaRecord;
import wallmoor.migration.ReplicaRequest;
import wallmoor.migration.ReplicaResponse;

/** Requests and answers as JSON. What can't be read is an {@link IllegalArgumentException} that says so. */
public final class MigrationCodec {
    /** An answer: of all blocks of a node, some 120 bytes each, 50,000 at most. */
    public static final int MAX_RESPONSE_BYTES = 8 << 20;

    /** The requests' names on the wire: they stay, whatever the types are called. */
    private static final Map<Class<? extends ReplicaRequest>, String> WORDS = Map.ofEntries(
            Map.entry(ReplicaRequest.ReadReplica.class, "look"),
            Map.entry(ReplicaRequest.ReserveSpace.class, "prepare"),
            Map.entry(ReplicaRequest.FetchChunk.class, "pull"),
            Map.entry(ReplicaRequest.ComputeChecksums.class, "sums"),
            Map.entry(ReplicaRequest.Seal.class, "seal"),
            Map.entry(ReplicaRequest.Fence.class, "fence"),
            Map.entry(ReplicaRequest.Unfence.class, "unfence"),
            Map.entry(ReplicaRequest.TakeOwnership.class, "admit"),
            Map.entry(ReplicaRequest.DiscardCopy.class, "discard"),
            Map.entry(ReplicaRequest.DropReplica.class, "drop"),
            Map.entry(ReplicaRequest.ListReplicas.class, "tell"));

    /** A request as it came. */
    public record RequestMessage(String block, long fencingToken, ReplicaRequest request) {}

    private MigrationCodec() {}

    /** A request. */
    public static String encode(String block, long number, ReplicaRequest ask) {
        var to = new StringBuilder("{\"block\":");
        Json.quote(to, block);
        to.append(",\"number\":").append(number).append(",\"ask\":\"").append(WORDS.get(ask.getClass())).append('"');
        if (ask instanceof ReplicaRequest.ReserveSpace p) {
            to.append(",\"bytes\":").append(p.sizeBytes()).append(",\"chunk\":").append(p.chunkBytes())
                    .append(",\"mb\":")
                    .append(p.reserveMb())
                    .append(",\"most_mb\":").append(p.limitMb());
        } else if (ask instanceof ReplicaRequest.FetchChunk p) {
            Json.quote(to.append(",\"from\":"), p.source());
            to.append(",\"index\":").append(p.chunkIndex()).append(",\"most_mb\":").append(p.limitMb());
        } else if (ask instanceof ReplicaRequest.ComputeChecksums s) {
            to.append(",\"chunk\":").append(s.chunkBytes());
        } else if (ask instanceof ReplicaRequest.Fence f) {
            to.append(",\"chunk\":").append(f.chunkBytes());
        } else if (ask instanceof ReplicaRequest.Seal s) {
            list(to.append(",\"sums\":"), s.checksums(), x -> '"' + x + '"');
        }
        return to.append('}').toString();
    }

    /** Reads a request. */
    public static RequestMessage decodeRequest(byte[] bytes) {
        return read(bytes,
                o -> new RequestMessage(o.text("block"), whole(o, "number"), switch (String.valueOf(o.text("ask"))) {
                    case "look" -> new ReplicaRequest.ReadReplica();
                    case "prepare" ->
                        new ReplicaRequest.ReserveSpace(whole(o, "bytes"), (int) whole(o, "chunk"), whole(o, "mb"),
                                whole(o, "most_mb"));
                    case "pull" ->
                        new ReplicaRequest.FetchChunk(o.text("from"), (int) whole(o, "index"), whole(o, "most_mb"));
                    case "sums" -> new ReplicaRequest.ComputeChecksums((int) whole(o, "chunk"));
                    case "seal" -> new ReplicaRequest.Seal(o.list("sums").stream().map(String.class::cast).toList());
                    case "fence" -> new ReplicaRequest.Fence((int) whole(o, "chunk"));
                    case "unfence" -> new ReplicaRequest.Unfence();
                    case "admit" -> new ReplicaRequest.TakeOwnership();
                    case "discard" -> new ReplicaRequest.DiscardCopy();
                    case "drop" -> new ReplicaRequest.DropReplica();
                    case "tell" -> new ReplicaRequest.ListReplicas();
                    default -> throw new IllegalArgumentException("no request: " + o.text("ask"));
                }));
    }

    /** An answer. */
    public static String encode(ReplicaResponse said) {
        var to = new StringBuilder("{\"verdict\":\"").append(said.code()).append("\",\"held\":")
                .append(encode(said.replica()))
                .append(",\"room\":[").append(said.space().diskMb()).append(',').append(said.space().otherMb())
                .append(',')
                .append(said.space().replicasMb()).append("],\"load\":").append(said.load()).append(",\"sums\":");
        list(to, said.checksums(), x -> '"' + x + '"');
        to.append(",\"holds\":{");
        said.replicas().forEach((b, h) -> {
            Json.quote(to.append(to.charAt(to.length() - 1) == '{' ? "" : ","), b);
            to.append(':').append(encode(h));
        });
        return to.append("}}").toString();
    }

    /** Reads an answer. */
    public static ReplicaResponse decodeResponse(byte[] bytes) {
        return read(bytes, o -> {
            List<?> room = o.list("room");
            Map<String, ReplicaRecord> holds = new TreeMap<>();
            ((Json.Obj) o.get("holds")).members().forEach((b, h) -> holds.put(b, held((Json.Obj) h)));
            return new ReplicaResponse(ReplicaResponse.ResponseCode.valueOf(o.text("verdict")),
                    held((Json.Obj) o.get("held")),
                    new DiskSpace((Long) room.get(0), (Long) room.get(1), (Long) room.get(2)),
                    o.list("sums").stream().map(String.class::cast).toList(), o.number("load", 0), holds);
        });
    }

    /** What is held of a block, also as a node may keep it. */
    public static String encode(ReplicaRecord h) {
        var to = new StringBuilder("{\"status\":\"").append(h.state()).append("\",\"number\":").append(h.fencingToken())
                .append(",\"bytes\":").append(h.sizeBytes()).append(",\"chunk\":").append(h.chunkBytes())
                .append(",\"mb\":")
                .append(h.reservedMb())
                .append(",\"floor\":").append(h.minMapVersion()).append(",\"missing\":");
        list(to, h.missingChunks(), String::valueOf);
        return to.append('}').toString();
    }

    /** Reads what is held. */
    public static ReplicaRecord decodeReplica(byte[] bytes) {
        return read(bytes, MigrationCodec::held);
    }

    private static ReplicaRecord held(Json.Obj o) {
        var missing = new TreeSet<Integer>();
        o.list("missing").forEach(n -> missing.add(((Long) n).intValue()));
        return new ReplicaRecord(ReplicaRecord.ReplicaState.valueOf(o.text("status")), whole(o, "number"),
                whole(o, "bytes"),
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

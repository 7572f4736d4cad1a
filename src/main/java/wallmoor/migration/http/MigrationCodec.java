package wallmoor.migration.http;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.stream.Collectors;
import wallmoor.json.Json;
import wallmoor.migration.DiskSpace;
import wallmoor.migration.ReplicaRecord;
import wallmoor.migration.ReplicaRecord.ReplicaState;
import wallmoor.migration.ReplicaRequest;
import wallmoor.migration.ReplicaResponse;
import wallmoor.migration.ReplicaResponse.ResponseCode;

/** JSON form of requests to nodes, of their responses, and of the replica records that nodes store. */
public final class MigrationCodec {
    /** Maximum size of a response: all blocks of a node, at most 50,000, with some 120 bytes each. */
    public static final int MAX_RESPONSE_BYTES = 8 << 20;
    /** Maximum number of bytes of a malformed message that its exception shows. */
    private static final int MAX_SHOWN_BYTES = 200;

    private MigrationCodec() {}

    /** A request with its block and fencing token. */
    public record RequestMessage(String block, long fencingToken, ReplicaRequest request) {}

    /** Encodes a request. */
    public static String encode(String block, long fencingToken, ReplicaRequest request) {
        var json = new StringBuilder("{\"block\":");
        Json.quote(json, block);
        json.append(",\"number\":").append(fencingToken).append(",\"ask\":\"").append(request.operation()).append('"');
        if (request instanceof ReplicaRequest.ReserveSpace reserve) {
            json.append(",\"bytes\":").append(reserve.sizeBytes()).append(",\"chunk\":").append(reserve.chunkBytes())
                    .append(",\"mb\":").append(reserve.reserveMb()).append(",\"most_mb\":").append(reserve.limitMb());
        } else if (request instanceof ReplicaRequest.FetchChunk fetch) {
            Json.quote(json.append(",\"from\":"), fetch.source());
            json.append(",\"index\":").append(fetch.chunkIndex()).append(",\"most_mb\":").append(fetch.limitMb());
        } else if (request instanceof ReplicaRequest.ComputeChecksums compute) {
            json.append(",\"chunk\":").append(compute.chunkBytes());
        } else if (request instanceof ReplicaRequest.Fence fence) {
            json.append(",\"chunk\":").append(fence.chunkBytes());
        } else if (request instanceof ReplicaRequest.Seal seal) {
            appendChecksums(json, seal.checksums());
        }
        return json.append('}').toString();
    }

    /** Decodes a request. */
    public static RequestMessage decodeRequest(byte[] bytes) throws MalformedMessageException {
        return decode(bytes, json -> new RequestMessage(json.text("block"), number(json, "number"), request(json)));
    }

    private static ReplicaRequest request(Json.Obj json) {
        String operation = String.valueOf(json.text("ask"));
        return switch (operation) {
            case "look" -> new ReplicaRequest.ReadReplica();
            case "prepare" -> new ReplicaRequest.ReserveSpace(number(json, "bytes"), (int) number(json, "chunk"),
                    number(json, "mb"), number(json, "most_mb"));
            case "pull" -> new ReplicaRequest.FetchChunk(json.text("from"), (int) number(json, "index"),
                    number(json, "most_mb"));
            case "sums" -> new ReplicaRequest.ComputeChecksums((int) number(json, "chunk"));
            case "seal" -> new ReplicaRequest.Seal(checksums(json));
            case "fence" -> new ReplicaRequest.Fence((int) number(json, "chunk"));
            case "unfence" -> new ReplicaRequest.Unfence();
            case "admit" -> new ReplicaRequest.TakeOwnership();
            case "discard" -> new ReplicaRequest.DiscardCopy();
            case "drop" -> new ReplicaRequest.DropReplica();
            case "tell" -> new ReplicaRequest.ListReplicas();
            default -> throw new IllegalArgumentException("unknown operation: " + operation);
        };
    }

    /** Encodes a response. */
    public static String encode(ReplicaResponse response) {
        DiskSpace space = response.space();
        var json = new StringBuilder("{\"verdict\":\"").append(response.code()).append("\",\"held\":")
                .append(encode(response.replica()))
                .append(",\"room\":[").append(space.diskMb()).append(',').append(space.otherMb()).append(',')
                .append(space.replicasMb()).append("],\"load\":").append(response.load());
        appendChecksums(json, response.checksums());
        json.append(",\"holds\":{");
        response.replicas().forEach((block, replica) -> {
            Json.quote(json.append(json.charAt(json.length() - 1) == '{' ? "" : ","), block);
            json.append(':').append(encode(replica));
        });
        return json.append("}}").toString();
    }

    /** Decodes a response. */
    public static ReplicaResponse decodeResponse(byte[] bytes) throws MalformedMessageException {
        return decode(bytes, json -> {
            List<?> space = json.list("room");
            Map<String, ReplicaRecord> replicas = new TreeMap<>();
            ((Json.Obj) json.get("holds")).members()
                    .forEach((block, record) -> replicas.put(block, replica((Json.Obj) record)));
            return new ReplicaResponse(ResponseCode.valueOf(json.text("verdict")),
                    replica((Json.Obj) json.get("held")),
                    new DiskSpace((Long) space.get(0), (Long) space.get(1), (Long) space.get(2)), checksums(json),
                    json.number("load", 0), replicas);
        });
    }

    /** Encodes a replica record, for a response or for storage on the node. */
    public static String encode(ReplicaRecord replica) {
        return "{\"status\":\"" + replica.state() + "\",\"number\":" + replica.fencingToken() + ",\"bytes\":"
                + replica.sizeBytes() + ",\"chunk\":" + replica.chunkBytes() + ",\"mb\":" + replica.reservedMb()
                + ",\"floor\":" + replica.minMapVersion() + ",\"missing\":["
                + join(replica.missingChunks(), String::valueOf) + "]}";
    }

    /** Decodes a replica record. */
    public static ReplicaRecord decodeReplica(byte[] bytes) throws MalformedMessageException {
        return decode(bytes, MigrationCodec::replica);
    }

    private static ReplicaRecord replica(Json.Obj json) {
        var missing = new TreeSet<Integer>();
        json.list("missing").forEach(index -> missing.add(((Long) index).intValue()));
        return new ReplicaRecord(ReplicaState.valueOf(json.text("status")), number(json, "number"),
                number(json, "bytes"), (int) number(json, "chunk"), number(json, "mb"), missing,
                number(json, "floor"));
    }

    private static void appendChecksums(StringBuilder json, List<String> checksums) {
        json.append(",\"sums\":[").append(join(checksums, sum -> '"' + sum + '"')).append(']');
    }

    private static List<String> checksums(Json.Obj json) {
        return json.list("sums").stream().map(String.class::cast).toList();
    }

    private static long number(Json.Obj json, String name) {
        return (Long) json.get(name);
    }

    private static <T> T decode(byte[] bytes, Function<Json.Obj, T> decoder) throws MalformedMessageException {
        try {
            return decoder.apply(Json.object(bytes, 0, bytes.length));
        } catch (Json.Malformed | NullPointerException | ClassCastException | IndexOutOfBoundsException
                | IllegalArgumentException e) { // a member is absent, has another type or an unknown value
            throw new MalformedMessageException("malformed migration message: " + new String(bytes, 0,
                    Math.min(MAX_SHOWN_BYTES, bytes.length), StandardCharsets.UTF_8), e);
        }
    }

    private static <T> String join(Collection<T> items, Function<T, String> encoder) {
        return items.stream().map(encoder).collect(Collectors.joining(","));
    }
}

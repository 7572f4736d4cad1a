package wallmoor.queries;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import wallmoor.core.Query;
import wallmoor.core.Step;
import wallmoor.json.Json;

/** The JSON format of requested parts and of their values, shared by all fronts that use JSON. */
public final class QueryBody {
    private static final int MAX_PARTS = 1000;
    /** The allowed rounding error in the sum of weights, which must be 1. */
    private static final double WEIGHT_TOLERANCE = 0.01;

    private QueryBody() {}

    /** Thrown if a body is invalid; the message describes the fault to the client. */
    public static final class InvalidQueryBodyException extends Exception {
        private static final long serialVersionUID = 1L;

        InvalidQueryBodyException(String message) {
            super(message);
        }
    }

    /**
     * Reads the requested parts from a body.
     *
     * @param shardCount the number of shards
     * @throws InvalidQueryBodyException if the member {@code shards} is invalid
     */
    public static List<Query.PartRequest> parseParts(Json.Obj body, int shardCount) throws InvalidQueryBodyException {
        List<?> shards = body.list("shards");
        var requests = new ArrayList<Query.PartRequest>();
        var seenShards = new HashSet<Integer>();
        double weightSum = 0;
        for (Object entry : shards == null ? List.of() : shards) {
            if (!(entry instanceof Json.Obj part) || !(part.get("shard") instanceof Long shard) || shard < 0
                    || shard >= shardCount || !seenShards.add(shard.intValue())) {
                throw new InvalidQueryBodyException("shards[" + requests.size() + "] must be an object with a member"
                        + " shard from 0 to " + (shardCount - 1) + ", and each shard may occur only once");
            }
            double weight = part.number("weight", -1);
            if (!(weight > 0 && weight <= 1 + WEIGHT_TOLERANCE) || requests.size() == MAX_PARTS) {
                throw new InvalidQueryBodyException("shards[" + requests.size() + "].weight must be a number above 0"
                        + " and at most 1, and at most " + MAX_PARTS + " parts are allowed");
            }
            weightSum += weight;
            requests.add(new Query.PartRequest(shard.intValue(), weight, (long) part.number("cost", -1)));
        }
        if (requests.isEmpty() || Math.abs(weightSum - 1) > WEIGHT_TOLERANCE) {
            throw new InvalidQueryBodyException("shards must be a non-empty list whose weights add up to 1; their sum"
                    + " is " + weightSum);
        }
        return requests;
    }

    /** Appends the members {@code complete} and {@code hits} of an answer. */
    public static void appendHits(StringBuilder to, Step.Answer answer) {
        to.append("\"complete\":").append(answer.complete()).append(",\"hits\":[");
        for (int i = 0; i < answer.values().size(); i++) {
            Step.PartValue value = answer.values().get(i);
            to.append(i == 0 ? "" : ",").append("{\"shard\":").append(value.shard()).append(",\"doc\":");
            Json.quote(to, new String(value.bytes(), StandardCharsets.UTF_8));
            to.append('}');
        }
        to.append(']');
    }
}

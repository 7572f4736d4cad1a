package wallmoor.queries;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import wallmoor.core.Query;
import wallmoor.core.Step;
import wallmoor.json.Json;

/** The form in which clients ask for parts and get their values, the same on every front that speaks JSON. */
public final class QueryBody {
    private static final int MOST_PARTS = 1000;
    /** Weights add up to 1 but for their rounding. */
    private static final double WEIGHT_SLACK = 0.01;

    private QueryBody() {}

    /** What is wrong with a body, in words for who sent it. */
    public static final class InvalidQueryBodyException extends Exception {
        private static final long serialVersionUID = 1L;

        InvalidQueryBodyException(String message) {
            super(message);
        }
    }

    /**
     * The parts that a body asks for.
     *
     * @param layout shards that there are
     */
    public static List<Query.PartRequest> parseParts(Json.Obj body, int layout) throws InvalidQueryBodyException {
        List<?> shards = body.list("shards");
        var asks = new ArrayList<Query.PartRequest>();
        var seen = new HashSet<Integer>();
        double sum = 0;
        for (Object entry : shards == null ? List.of() : shards) {
            if (!(entry instanceof Json.Obj part) || !(part.get("shard") instanceof Long shard) || shard < 0
                    || shard >= layout || !seen.add(shard.intValue())) {
                throw new InvalidQueryBodyException("shards holds what is no part");
            }
            double weight = part.number("weight", -1);
            if (!(weight > 0 && weight <= 1 + WEIGHT_SLACK) || asks.size() == MOST_PARTS) {
                throw new InvalidQueryBodyException("shards holds a weight that is none, or too many parts");
            }
            sum += weight;
            asks.add(new Query.PartRequest(shard.intValue(), weight, (long) part.number("cost", -1)));
        }
        if (asks.isEmpty() || Math.abs(sum - 1) > WEIGHT_SLACK) {
            throw new InvalidQueryBodyException("shards is absent or empty, or its weights don't add up to 1");
        }
        return asks;
    }

    /** The members {@code complete} and {@code hits} of an answer. */
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

package wallmoor.migration;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import wallmoor.json.Json;
import wallmoor.placement.FailureDomain;
import wallmoor.placement.PlacementProblem;
import wallmoor.placement.StorageNode;

/**
 * The placement that migrations are planned for: the placement rules, and the nodes with their disks.
 *
 * @param headroom millionths of each disk that stay free
 * @param spread   failure domain that no two replicas of a block share
 * @param level    millionths of disk usage by which the fullest node may exceed the emptiest, or {@link
 *                 PlacementProblem#NO_LEVEL}
 */
public record PlacementTarget(int headroom, FailureDomain spread, int level, List<StorageNode> nodes) {
    /** Takes a copy of the list. */
    public PlacementTarget {
        nodes = List.copyOf(nodes);
    }

    /** Returns the target of a placement problem: everything but its blocks. */
    public static PlacementTarget of(PlacementProblem problem) {
        return new PlacementTarget(problem.headroom(), problem.spread(), problem.level(), problem.nodes());
    }

    /** Returns the megabytes that a node may store in total: its disk less its headroom; 0 for an unknown node. */
    long usableMb(String node, long diskMb) {
        for (StorageNode n : nodes) {
            if (n.id().equals(node)) {
                return Math.min(n.diskMb(), diskMb) * (PlacementProblem.MILLION - headroom) / PlacementProblem.MILLION;
            }
        }
        return 0;
    }

    /** Returns whether the target has this node. */
    public boolean hasNode(String node) {
        return nodes.stream().anyMatch(n -> n.id().equals(node));
    }

    /** Returns the form stored in the document {@code plan}: a JSON object. */
    String encode() {
        var json = new StringBuilder("{\"headroom\":").append(headroom).append(",\"spread\":\"").append(spread)
                .append("\",\"level\":").append(level).append(",\"nodes\":[");
        for (int i = 0; i < nodes.size(); i++) {
            StorageNode node = nodes.get(i);
            Json.quote(json.append(i == 0 ? "[" : ",["), node.id());
            Json.quote(json.append(','), node.cell());
            json.append(',').append(node.diskMb()).append(',').append(node.draining()).append(']');
        }
        return json.append("]}").toString();
    }

    /** Reverses {@link #encode}. */
    static PlacementTarget decode(String text) throws UnreadablePlanException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        try {
            Json.Obj json = Json.object(bytes, 0, bytes.length);
            var nodes = new ArrayList<StorageNode>();
            for (Object each : json.list("nodes")) {
                var node = (List<?>) each;
                nodes.add(new StorageNode((String) node.get(0), (String) node.get(1), (Long) node.get(2),
                        (Boolean) node.get(3)));
            }
            return new PlacementTarget((int) json.number("headroom", -1), FailureDomain.valueOf(json.text("spread")),
                    (int) json.number("level", PlacementProblem.NO_LEVEL), nodes);
        } catch (Json.Malformed | ClassCastException | NullPointerException | IndexOutOfBoundsException
                | IllegalArgumentException e) {
            throw new UnreadablePlanException("malformed placement target: " + text, e);
        }
    }
}

package wallmoor.migration;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import wallmoor.json.Json;
import wallmoor.placement.FailureDomain;
import wallmoor.placement.PlacementProblem;
import wallmoor.placement.StorageNode;

/** What the placement is to come to: the rules, and the nodes with their disks. */
public record PlacementTarget(int headroom, FailureDomain spread, int level, List<StorageNode> nodes) {
    public PlacementTarget {
        nodes = List.copyOf(nodes);
    }

    /** Of a fleet, all but its blocks. */
    public static PlacementTarget of(PlacementProblem fleet) {
        return new PlacementTarget(fleet.headroom(), fleet.spread(), fleet.level(), fleet.nodes());
    }

    /** What a node may hold in all, in megabytes: its disk less its headroom. */
    long usableMb(String node, long diskMb) {
        for (StorageNode n : nodes) {
            if (n.id().equals(node)) {
                return Math.min(n.diskMb(), diskMb) * (PlacementProblem.MILLION - headroom) / PlacementProblem.MILLION;
            }
        }
        return 0;
    }

    /** Whether there is such a node. */
    public boolean hasNode(String node) {
        return nodes.stream().anyMatch(n -> n.id().equals(node));
    }

    String encode() {
        var to = new StringBuilder("{\"headroom\":").append(headroom).append(",\"spread\":\"").append(spread)
                .append("\",\"level\":").append(level).append(",\"nodes\":[");
        for (int i = 0; i < nodes.size(); i++) {
            StorageNode n = nodes.get(i);
            Json.quote(to.append(i == 0 ? "[" : ",["), n.id());
            Json.quote(to.append(','), n.cell());
            to.append(',').append(n.diskMb()).append(',').append(n.draining()).append(']');
        }
        return to.append("]}").toString();
    }

    /** @throws IllegalArgumentException where the text is none */
    static PlacementTarget decode(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        try {
            Json.Obj all = Json.object(bytes, 0, bytes.length);
            var nodes = new ArrayList<StorageNode>();
            for (Object o : all.list("nodes")) {
                var n = (List<?>) o;
                nodes.add(new StorageNode((String) n.get(0), (String) n.get(1), (Long) n.get(2), (Boolean) n.get(3)));
            }
            return new PlacementTarget((int) all.number("headroom", -1), FailureDomain.valueOf(all.text("spread")),
                    (int) all.number("level", PlacementProblem.NO_LEVEL), nodes);
        } catch (Json.Malformed | ClassCastException | NullPointerException | IndexOutOfBoundsException e) {
            throw new IllegalArgumentException("no goal: " + text, e);
        }
    }
}

package wallmoor.dns;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.stream.Collectors;
import wallmoor.core.WorkerEndpoint;
import wallmoor.endpoints.SourceEndpoint;

/**
 * Makes nodes of a service's targets: who each is, what it holds, how large it is. No I/O. It remembers which address a
 * node of several has, so that it does not change without need.
 */
final class TargetMapper {
    /** A weight stands for a size; a node many times larger than the usual one is a slip of the pen. */
    private static final double LEAST_SIZE = 0.1;
    private static final double MOST_SIZE = 10;

    private final int cells;
    private final List<String> zones;
    private final List<String> kinds;
    private Map<String, String> addresses = Map.of();

    TargetMapper(int cells, List<String> zones, List<String> kinds) {
        this.cells = cells;
        this.zones = zones;
        this.kinds = kinds;
    }

    /** The nodes; what can't be one is told in {@code faults}. {@code cell} is that of all, or -1. */
    List<SourceEndpoint> of(List<ServiceTarget> targets, int cell, List<String> faults) {
        Map<Integer, OptionalDouble> means = new HashMap<>();
        targets.stream().collect(Collectors.groupingBy(ServiceTarget::priority))
                .forEach((p, all) -> means.put(p, all.stream().mapToInt(ServiceTarget::weight).average()));
        var entries = new LinkedHashMap<String, SourceEndpoint>();
        var chosen = new HashMap<String, String>();
        for (ServiceTarget t : targets) {
            int own = cell >= 0 ? cell : number(t, "cell", cells);
            if (own < 0) {
                faults.add(t.name() + ": its TXT record has no cell from 0 to " + (cells - 1));
                continue;
            }
            double size = size(t, means.get(t.priority()).orElse(0));
            String id = t.text().getOrDefault("id", "");
            if (!id.matches("[!-~]{0,128}")) {
                faults.add(t.name() + ": its TXT record has an id that is none");
                continue;
            }
            List<String> at = t.addresses();
            if (!id.isEmpty()) {
                String last = addresses.get(id);
                at = List.of(last != null && at.contains(last) ? last : at.get(0));
                chosen.put(id, at.get(0));
            }
            for (String address : at) { // without an id, a node is who answers at an address under a name
                String who = !id.isEmpty() ? id : t.name() + ":" + t.port() + "/" + address;
                var entry = new SourceEndpoint(who, ServiceTarget.hostPort(address, t.port()),
                        index(t, "zone", zones, faults),
                        index(t, "kind", kinds, faults), own, WorkerEndpoint.EndpointState.SERVING, size,
                        SourceEndpoint.UNKNOWN_START, t.priority());
                if (entries.putIfAbsent(who, entry) != null) {
                    faults.add(t.name() + ": its id " + who + " is another target's too");
                }
            }
        }
        addresses = chosen;
        return new ArrayList<>(entries.values());
    }

    /**
     * A weight is a share beside those of the same priority (RFC 2782), hence a size beside their mean; 0 is the least.
     * Where all are 0 there is nothing to choose by.
     */
    private static double size(ServiceTarget t, double mean) {
        double size = mean <= 0 ? 1 : t.weight() / mean;
        try {
            size = t.text().containsKey("size") ? Double.parseDouble(t.text().get("size")) : size;
        } catch (NumberFormatException e) {
            // what the weight says holds
        }
        return Math.max(LEAST_SIZE, Math.min(MOST_SIZE, Double.isNaN(size) ? 1 : size));
    }

    private static int number(ServiceTarget t, String key, int below) {
        String text = t.text().getOrDefault(key, "");
        int n = text.matches("[0-9]{1,6}") ? Integer.parseInt(text) : -1;
        return n < below ? n : -1;
    }

    private static int index(ServiceTarget t, String key, List<String> names, List<String> faults) {
        String text = t.text().getOrDefault(key, "");
        int index = names.indexOf(text);
        if (index < 0 && !text.isEmpty()) {
            faults.add(t.name() + ": its TXT record has an unknown " + key + ": " + text);
        }
        return Math.max(0, index);
    }
}

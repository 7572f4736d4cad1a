package wallmoor.dns;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import wallmoor.core.WorkerEndpoint;
import wallmoor.endpoints.SourceEndpoint;

/**
 * Maps a service's targets to endpoints: the identity of each, what it holds, how large it is. No I/O. It remembers
 * which address an endpoint of several has, so that it does not change without need.
 */
final class TargetMapper {
    /** A weight stands for a size; an endpoint many times larger than the usual one is a slip of the pen. */
    private static final double MIN_SIZE = 0.1;
    private static final double MAX_SIZE = 10;
    private static final double DEFAULT_SIZE = 1;

    private final int cells;
    private final List<String> zones;
    private final List<String> kinds;
    /** The address chosen last by the endpoint's id. */
    private Map<String, String> chosenAddresses = Map.of();

    TargetMapper(int cells, List<String> zones, List<String> kinds) {
        this.cells = cells;
        this.zones = zones;
        this.kinds = kinds;
    }

    /** The endpoints; what can't be one is added to {@code faults}. {@code cell} is that of all, or -1. */
    List<SourceEndpoint> endpoints(List<ServiceTarget> targets, int cell, List<String> faults) {
        Map<Integer, MeanWeight> means = meanWeights(targets);
        var endpoints = new LinkedHashMap<String, SourceEndpoint>();
        var chosen = new HashMap<String, String>();
        for (ServiceTarget target : targets) {
            int own = cell >= 0 ? cell : number(target, "cell", cells);
            if (own < 0) {
                faults.add(target.name() + ": its TXT record has no cell from 0 to " + (cells - 1));
                continue;
            }
            String id = target.text().getOrDefault("id", "");
            if (!id.matches("[!-~]{0,128}")) {
                faults.add(target.name() + ": its TXT record has an id that is none");
                continue;
            }
            double size = size(target, means.get(target.priority()).mean());
            for (String address : addresses(target, id, chosen)) {
                SourceEndpoint endpoint = endpoint(target, id, address, own, size, faults);
                if (endpoints.putIfAbsent(endpoint.id(), endpoint) != null) {
                    faults.add(target.name() + ": its id " + endpoint.id() + " is another target's too");
                }
            }
        }
        chosenAddresses = chosen;
        return new ArrayList<>(endpoints.values());
    }

    /** With an id one address of the target, that of before where it is still there; without one all of them. */
    private List<String> addresses(ServiceTarget target, String id, Map<String, String> chosen) {
        List<String> addresses = target.addresses();
        if (id.isEmpty()) {
            return addresses;
        }
        String before = chosenAddresses.get(id);
        String address = before != null && addresses.contains(before) ? before : addresses.get(0);
        chosen.put(id, address);
        return List.of(address);
    }

    /** Without an id, an endpoint's identity is who answers at an address under a name. */
    private SourceEndpoint endpoint(ServiceTarget target, String id, String address, int cell, double size,
            List<String> faults) {
        String identity = id.isEmpty() ? target.name() + ":" + target.port() + "/" + address : id;
        return new SourceEndpoint(identity, ServiceTarget.hostPort(address, target.port()),
                index(target, "zone", zones, faults), index(target, "kind", kinds, faults), cell,
                WorkerEndpoint.EndpointState.SERVING, size, SourceEndpoint.UNKNOWN_START, target.priority());
    }

    private static Map<Integer, MeanWeight> meanWeights(List<ServiceTarget> targets) {
        var means = new HashMap<Integer, MeanWeight>();
        for (ServiceTarget target : targets) {
            means.computeIfAbsent(target.priority(), p -> new MeanWeight()).add(target.weight());
        }
        return means;
    }

    private static final class MeanWeight {
        private long sum;
        private int count;

        void add(int weight) {
            sum += weight;
            count++;
        }

        double mean() {
            return (double) sum / count;
        }
    }

    /**
     * A weight is a share relative to those of the same priority (RFC 2782), hence a size relative to their mean; 0 is
     * the least. Where all are 0 there is nothing to choose by.
     */
    private static double size(ServiceTarget target, double meanWeight) {
        double size = meanWeight <= 0 ? DEFAULT_SIZE : target.weight() / meanWeight;
        try {
            size = target.text().containsKey("size") ? Double.parseDouble(target.text().get("size")) : size;
        } catch (NumberFormatException e) {
            // what the weight says holds
        }
        return Math.max(MIN_SIZE, Math.min(MAX_SIZE, Double.isNaN(size) ? DEFAULT_SIZE : size));
    }

    private static int number(ServiceTarget target, String key, int below) {
        String text = target.text().getOrDefault(key, "");
        int n = text.matches("[0-9]{1,6}") ? Integer.parseInt(text) : -1;
        return n < below ? n : -1;
    }

    private static int index(ServiceTarget target, String key, List<String> names, List<String> faults) {
        String text = target.text().getOrDefault(key, "");
        int index = names.indexOf(text);
        if (index < 0 && !text.isEmpty()) {
            faults.add(target.name() + ": its TXT record has an unknown " + key + ": " + text);
        }
        return Math.max(0, index);
    }
}

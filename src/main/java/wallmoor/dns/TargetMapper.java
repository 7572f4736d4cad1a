package wallmoor.dns;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import wallmoor.core.WorkerEndpoint;
import wallmoor.endpoints.SourceEndpoint;

/**
 * Maps the targets of a service to endpoints, each with its identity, cell, zone, kind and size. Does no I/O. For a
 * target with an id and several addresses it remembers the address chosen last, so that the endpoint keeps it while the
 * target has it.
 */
final class TargetMapper {
    /** Relative sizes outside of these limits are clamped: a size many times the mean is a typing error. */
    private static final double MIN_SIZE = 0.1;
    private static final double MAX_SIZE = 10;
    private static final double DEFAULT_SIZE = 1;

    private final int cells;
    private final List<String> zones;
    private final List<String> kinds;
    /** The address chosen last, by endpoint id. */
    private Map<String, String> chosenAddresses = Map.of();

    TargetMapper(int cells, List<String> zones, List<String> kinds) {
        this.cells = cells;
        this.zones = zones;
        this.kinds = kinds;
    }

    /**
     * Returns the endpoints of these targets.
     *
     * @param cell   the cell of all targets, or -1 where each target's TXT record names its own
     * @param faults receives a message for each target that can't be used or has a faulty TXT record
     */
    List<SourceEndpoint> endpoints(List<ServiceTarget> targets, int cell, List<String> faults) {
        Map<Integer, MeanWeight> means = meanWeights(targets);
        var endpoints = new LinkedHashMap<String, SourceEndpoint>();
        var chosen = new HashMap<String, String>();
        for (ServiceTarget target : targets) {
            int targetCell = cell >= 0 ? cell : integer(target, "cell", cells);
            if (targetCell < 0) {
                faults.add(target.name() + ": its TXT record has no cell from 0 to " + (cells - 1));
                continue;
            }
            String id = target.text().getOrDefault("id", "");
            if (!id.matches("[!-~]{0,128}")) {
                faults.add(target.name() + ": its TXT record has an id that is not 0 to 128 printable"
                        + " ASCII characters without blanks");
                continue;
            }
            double size = size(target, means.get(target.priority()).mean());
            for (String address : addresses(target, id, chosen)) {
                SourceEndpoint endpoint = endpoint(target, id, address, targetCell, size, faults);
                if (endpoints.putIfAbsent(endpoint.id(), endpoint) != null) {
                    faults.add(target.name() + ": its id " + endpoint.id() + " is used by another target already");
                }
            }
        }
        chosenAddresses = chosen;
        return new ArrayList<>(endpoints.values());
    }

    /**
     * Returns the addresses to use: all of them for a target without an id, else one, preferably the one chosen last.
     * Records it in {@code chosen}.
     */
    private List<String> addresses(ServiceTarget target, String id, Map<String, String> chosen) {
        List<String> addresses = target.addresses();
        if (id.isEmpty()) {
            return addresses;
        }
        String previous = chosenAddresses.get(id);
        String address = previous != null && addresses.contains(previous) ? previous : addresses.get(0);
        chosen.put(id, address);
        return List.of(address);
    }

    /** Makes an endpoint; without an id its identity is made of the target's name, port and address. */
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
     * Returns the relative size of an endpoint: the {@code size} of its TXT record, else its weight divided by the mean
     * weight of the targets of the same priority, among which weights are relative (RFC 2782). A weight of 0
     * gives the smallest size; where all weights are 0, all sizes are the same.
     */
    private static double size(ServiceTarget target, double meanWeight) {
        double size = meanWeight <= 0 ? DEFAULT_SIZE : target.weight() / meanWeight;
        try {
            size = target.text().containsKey("size") ? Double.parseDouble(target.text().get("size")) : size;
        } catch (NumberFormatException e) {
            // the size from the weight is used
        }
        return Math.max(MIN_SIZE, Math.min(MAX_SIZE, Double.isNaN(size) ? DEFAULT_SIZE : size));
    }

    /** Returns the integer under a key of the TXT record, or -1 if it is absent or not below {@code bound}. */
    private static int integer(ServiceTarget target, String key, int bound) {
        String text = target.text().getOrDefault(key, "");
        int value = text.matches("[0-9]{1,6}") ? Integer.parseInt(text) : -1;
        return value < bound ? value : -1;
    }

    /** Returns the index of the name under a key of the TXT record; 0 where it is absent or unknown. */
    private static int index(ServiceTarget target, String key, List<String> names, List<String> faults) {
        String text = target.text().getOrDefault(key, "");
        int index = names.indexOf(text);
        if (index < 0 && !text.isEmpty()) {
            faults.add(target.name() + ": its TXT record has an unknown " + key + ": " + text);
        }
        return Math.max(0, index);
    }
}

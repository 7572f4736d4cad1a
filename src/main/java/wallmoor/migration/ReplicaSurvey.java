package wallmoor.migration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;
import wallmoor.migration.ReplicaRecord.ReplicaState;
import wallmoor.placement.Move;
import wallmoor.placement.PlacementPlanner;
import wallmoor.placement.PlacementProblem;
import wallmoor.placement.PlacementResult;
import wallmoor.placement.PlanVerifier;
import wallmoor.placement.StorageNode;

/**
 * Requests all nodes' replicas and disk space while no migration is in progress, and plans migrations from the
 * responses. A plan needs the response of every node, all from about the same time.
 */
final class ReplicaSurvey {
    /** Maximum number of discrepancies listed in one message. */
    private static final int MAX_NAMED = 5;

    private final MigrationSettings settings;
    private final Map<Long, String> nodeByRequest = new HashMap<>();
    private final Map<String, ReplicaResponse> responses = new TreeMap<>();
    private final Map<String, String> failures = new TreeMap<>();
    private long notBefore = Long.MIN_VALUE;
    private boolean targetReached;
    private String blockedReason = "";

    ReplicaSurvey(MigrationSettings settings) {
        this.settings = settings;
    }

    /** Discards all responses and results, which may be outdated because a new version is active. */
    void reset() {
        nodeByRequest.clear();
        responses.clear();
        failures.clear();
        targetReached = false;
        blockedReason = "";
        notBefore = Long.MIN_VALUE;
    }

    /** Returns whether all nodes responded and no migration is needed. */
    boolean isTargetReached() {
        return targetReached;
    }

    /** Returns why nothing can be planned, for operators; empty where there is no obstacle. */
    String blockedReason() {
        return blockedReason;
    }

    /** Returns the nodes to send {@link ReplicaRequest.ListReplicas} to now. */
    List<String> nodesToRequest(long now, PlacementTarget target) {
        var nodes = new ArrayList<String>();
        if (!targetReached && now >= notBefore) {
            for (StorageNode node : target.nodes()) {
                if (!responses.containsKey(node.id()) && !nodeByRequest.containsValue(node.id())) {
                    nodes.add(node.id());
                }
            }
        }
        return nodes;
    }

    void onSent(long requestId, String node) {
        nodeByRequest.put(requestId, node);
    }

    void onResponse(long requestId, ReplicaResponse response) {
        String node = nodeByRequest.remove(requestId);
        if (node != null) {
            responses.put(node, response);
            failures.remove(node);
        }
    }

    void onFailure(long requestId, long now, String reason) {
        String node = nodeByRequest.remove(requestId);
        if (node != null) {
            failures.put(node, reason);
            notBefore = now + settings.retryMicros();
            responses.clear(); // a plan needs responses from about the same time
            blockedReason = "no answer from " + failures
                    + "; start it, or start again with a file without it and its copies";
        }
    }

    /** Returns the plan with new migrations; null where there are none, or none can be planned yet. */
    MigrationPlan planMigrations(long now, MigrationPlan plan) {
        boolean allResponded = plan.target().nodes().stream().allMatch(n -> responses.containsKey(n.id()));
        if (targetReached || now < notBefore || !allResponded) {
            return null;
        }
        blockedReason = discrepancies(plan);
        if (blockedReason.isEmpty()) {
            PlacementProblem problem = plan.toProblem(responses.entrySet().stream()
                    .collect(Collectors.toMap(Map.Entry::getKey, e -> e.getValue().space())));
            PlacementResult result = PlacementPlanner.plan(problem);
            if (result instanceof PlacementResult.Plan found && PlanVerifier.violations(problem, found).isEmpty()) {
                targetReached = found.moves().isEmpty();
                return targetReached ? null : withMigrations(plan, found);
            }
            blockedReason = result instanceof PlacementResult.Infeasible infeasible
                    ? "no plan exists; together these can't be kept: " + infeasible.conflict()
                    : "no plan was found; give more room or a wider level";
        }
        responses.clear();
        notBefore = now + settings.retryMicros();
        return null;
    }

    /**
     * Adds the planner's moves as migrations, up to the wave before a block moves for the second time: a block has one
     * migration at a time.
     */
    private static MigrationPlan withMigrations(MigrationPlan plan, PlacementResult.Plan found) {
        var migrations = new TreeMap<String, Migration>();
        for (Move move : found.moves()) {
            migrations.putIfAbsent(move.block(),
                    Migration.planned(move.block(), move.from(), move.to(), move.sizeMb(), move.wave()));
        }
        int firstRepeatWave = found.moves().stream()
                .filter(move -> migrations.get(move.block()).wave() != move.wave())
                .mapToInt(Move::wave).min().orElse(Integer.MAX_VALUE);
        migrations.values().removeIf(m -> m.wave() >= firstRepeatWave); // later waves rely on the second migration
        return plan.withMigrations(migrations, plan.owners());
    }

    /** Describes how the nodes' replicas differ from the plan's owners; empty where they do not. */
    private String discrepancies(MigrationPlan plan) {
        var found = new TreeSet<String>();
        plan.owners().forEach((block, nodes) -> nodes.forEach(node -> {
            if (!responses.containsKey(node) || replica(node, block).state() != ReplicaState.OWNER) {
                found.add(node + " does not hold " + block);
            }
        }));
        responses.forEach((node, response) -> response.replicas().forEach((block, replica) -> {
            boolean owner = plan.owners().getOrDefault(block, new TreeSet<>()).contains(node);
            if (replica.state() != ReplicaState.ABSENT && !owner) {
                found.add(node + " holds " + block + " (" + replica.state() + ")");
            }
        }));
        return found.isEmpty() ? "" : "the nodes hold what the plan does not say, or lack what it says: "
                + found.stream().limit(MAX_NAMED).collect(Collectors.joining("; "))
                + "; mend that, or start with a file that says it";
    }

    private ReplicaRecord replica(String node, String block) {
        return responses.get(node).replicas().getOrDefault(block, ReplicaRecord.NONE);
    }
}

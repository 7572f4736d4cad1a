package wallmoor.migration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import wallmoor.migration.MigrationAction.ProposePlan;
import wallmoor.migration.MigrationAction.SendRequest;
import wallmoor.placement.BlockReplicas;
import wallmoor.placement.PlacementProblem;
import wallmoor.placement.StorageNode;

/**
 * Simulates nodes, leaders, clients and the network between them on one clock, and reports what happens to {@link
 * MigrationInvariants}.
 */
final class MigrationSimulation {
    static final long STEP_MICROS = 10_000;
    static final int CHUNK_COUNT = 2;
    static final long MAX_QUERY_MICROS = 150_000;
    static final MigrationSettings SETTINGS = new MigrationSettings(1_000_000_000, 500_000, 300_000, 1_500_000, 50_000);
    private static final long TIMEOUT_MICROS = 200_000;

    /** A message in the network: a request, the fetched chunk for one, or its response. */
    private record Message(long dueMicros, Leader leader, SendRequest action, ReplicaResponse response,
            Integer fetchedChunk) {}

    /** A non-idempotent part on its way to a node; where that rejects it, it goes to the remaining nodes. */
    private record Part(long dueMicros, int id, String block, String node, long version, List<String> remainingNodes) {}

    /** A query that reads from all these owners when it is due. */
    private record Query(long dueMicros, String block, long version, SortedSet<String> owners) {}

    /** A process that runs a coordinator; it may be paused while another one leads. */
    static final class Leader {
        final MigrationCoordinator coordinator = new MigrationCoordinator(SETTINGS);
        long pausedUntil;
        final Map<Long, Long> deadlineByRequest = new TreeMap<>();
    }

    final PlacementProblem problem;
    final Random random;
    final Map<String, SimulatedNode> nodes = new TreeMap<>();
    final List<Leader> leaders = new ArrayList<>();
    final MigrationInvariants invariants;
    private List<Message> messages = new ArrayList<>();
    private List<Part> parts = new ArrayList<>();
    private List<Query> queries = new ArrayList<>();
    private final Map<String, Long> downUntil = new HashMap<>();
    long now;
    long activeVersion = 1;
    MigrationPlan plan;
    private MigrationPlan acceptedPlan;
    private long activeAt;
    private int lastPartId;
    long version;
    // faults in effect until a time, or for the next request or chunk
    long loseRequestsUntil;
    long loseResponsesUntil;
    boolean duplicateNextRequest;
    boolean delayNextRequest;
    boolean corruptNextChunk;
    long corruptChunksUntil;
    int maxDelaySteps = 1;

    MigrationSimulation(PlacementProblem problem, long seed) {
        this.problem = problem;
        random = new Random(seed);
        for (StorageNode n : problem.nodes()) {
            nodes.put(n.id(), new SimulatedNode(n.id(), n.diskMb()));
        }
        int nextContent = -1000;
        for (BlockReplicas b : problem.blocks()) {
            int[] content = new int[CHUNK_COUNT];
            for (int i = 0; i < CHUNK_COUNT; i++) {
                content[i] = nextContent--;
            }
            for (String n : b.holders()) {
                nodes.get(n).replicas.put(b.id(),
                        ReplicaRecord.owned(CHUNK_COUNT * (long) SETTINGS.chunkBytes(), b.sizeMb()));
                nodes.get(n).chunksByBlock.put(b.id(), content.clone());
            }
        }
        plan = MigrationPlan.initial(problem, 4);
        invariants = new MigrationInvariants(this);
        leaders.add(new Leader());
        deliverActiveVersion(leaders.get(0));
    }

    private void deliverActiveVersion(Leader leader) {
        perform(leader, leader.coordinator.onVersionActive(now, activeVersion, plan));
    }

    /** Advances the clock by a step, and handles all that is due. */
    void step() {
        now += STEP_MICROS;
        downUntil.entrySet().removeIf(e -> {
            nodes.get(e.getKey()).isDown = e.getValue() > now;
            return e.getValue() <= now;
        });
        if (acceptedPlan != null && now >= activeAt) {
            activeVersion++;
            plan = acceptedPlan;
            acceptedPlan = null;
            leaders.stream().filter(leader -> now >= leader.pausedUntil).forEach(this::deliverActiveVersion);
        }
        List<Message> dueMessages = messages.stream()
                .filter(message -> message.dueMicros() <= now
                        && (message.response() == null || now >= message.leader().pausedUntil))
                .toList();
        var remaining = new ArrayList<>(messages);
        remaining.removeAll(dueMessages);
        messages = remaining;
        dueMessages.forEach(this::deliver);
        for (Leader leader : leaders) {
            if (now >= leader.pausedUntil) {
                if (leader.coordinator.status().version() < activeVersion) {
                    deliverActiveVersion(leader);
                }
                var timedOut = leader.deadlineByRequest.entrySet().stream().filter(e -> e.getValue() <= now)
                        .map(Map.Entry::getKey).toList();
                timedOut.forEach(id -> {
                    leader.deadlineByRequest.remove(id);
                    perform(leader, leader.coordinator.onRequestFailed(now, id, "no answer"));
                });
                perform(leader, leader.coordinator.onTick(now));
            }
        }
        runDueQueries();
        invariants.checkReplicas();
    }

    private void perform(Leader leader, List<MigrationAction> actions) {
        for (MigrationAction action : actions) {
            if (action instanceof ProposePlan proposal) {
                propose(leader, proposal);
            } else if (action instanceof SendRequest request) {
                leader.deadlineByRequest.put(request.requestId(), now + TIMEOUT_MICROS);
                long delayMicros = STEP_MICROS * (1 + random.nextInt(maxDelaySteps));
                if (now >= loseRequestsUntil) {
                    messages.add(new Message(now + (delayNextRequest ? 40 * STEP_MICROS : delayMicros), leader, request,
                            null, null));
                }
                if (duplicateNextRequest) {
                    messages.add(new Message(now + 35 * STEP_MICROS, leader, request, null, null));
                }
                delayNextRequest = false;
                duplicateNextRequest = false;
            }
        }
    }

    private void propose(Leader leader, ProposePlan proposal) {
        if (acceptedPlan == null && proposal.parentVersion() == activeVersion) {
            acceptedPlan = proposal.plan();
            activeAt = now + STEP_MICROS * (1 + random.nextInt(3 * maxDelaySteps));
            try { // what a process would decode from the document
                var schema = wallmoor.rules.DocumentSchemas.PLAN;
                invariants.checkEqual(proposal.plan(), MigrationPlan.decode(schema.parse(proposal.plan().body())));
                invariants.check(plan.migrations().isEmpty()
                        || proposal.plan().maxEncodedLength() <= plan.maxEncodedLength(),
                        "the next plan's upper bound exceeds that of its parent");
                invariants.check(
                        proposal.plan().body().length() + proposal.plan().fallback().length() <= proposal.plan()
                                .maxEncodedLength(),
                        "body and fallback are longer than their upper bound");
                invariants.check(schema.isAtMostAsPermissive(schema.parse(proposal.plan().fallback()),
                        schema.parse(proposal.plan().body())),
                        "the fallback is more permissive than the body");
            } catch (wallmoor.rules.InvalidRuleException | UnreadablePlanException e) {
                throw new AssertionError(e);
            }
        } else if (proposal.parentVersion() != activeVersion || !proposal.plan().equals(acceptedPlan)) {
            perform(leader, leader.coordinator.onProposalRejected(now, proposal.parentVersion()));
        }
    }

    private void deliver(Message message) {
        SimulatedNode node = nodes.get(message.action().node());
        if (message.response() != null) {
            if (message.leader().deadlineByRequest.remove(message.action().requestId()) != null) {
                perform(message.leader(), message.leader().coordinator.onResponse(now, message.action().requestId(),
                        message.response()));
            }
            return;
        }
        if (node.isDown) {
            return;
        }
        if (message.fetchedChunk() != null) {
            var fetch = (ReplicaRequest.FetchChunk) message.action().request();
            sendResponse(message, node.handleFetchedChunk(message.action().block(), message.action().fencingToken(),
                    fetch.chunkIndex(), message.fetchedChunk(), fetch.limitMb()));
            return;
        }
        ReplicaResponse response = node.handle(message.action().block(), message.action().fencingToken(),
                message.action().request());
        if (response.code() == ReplicaResponse.ResponseCode.OK
                && message.action().request() instanceof ReplicaRequest.FetchChunk fetch) {
            SimulatedNode source = nodes.get(fetch.source());
            if (source.isDown || !source.replica(message.action().block()).isComplete()) {
                response = new ReplicaResponse(ReplicaResponse.ResponseCode.NO_SOURCE, response.replica(),
                        response.space(),
                        List.of(), 0, Map.of());
            } else { // the chunk is read now and written on arrival, when the request is checked again
                int value = source.chunksByBlock.get(message.action().block())[fetch.chunkIndex()];
                boolean isCorrupted = corruptNextChunk || now < corruptChunksUntil;
                corruptNextChunk = false;
                messages.add(new Message(now + STEP_MICROS * (1 + random.nextInt(2 * maxDelaySteps)), message.leader(),
                        message.action(), null,
                        isCorrupted ? value ^ 1 << 20 : value));
                return;
            }
        }
        sendResponse(message, response);
    }

    private void sendResponse(Message message, ReplicaResponse response) {
        if (now >= loseResponsesUntil) {
            messages.add(new Message(now + STEP_MICROS * (1 + random.nextInt(maxDelaySteps)), message.leader(),
                    message.action(), response, null));
        }
    }

    /** Opens a query with a non-idempotent part, or one that reads, by the active plan or its accepted successor. */
    void openQuery(String block, boolean isNonIdempotent) {
        boolean knowsAccepted = acceptedPlan != null && random.nextBoolean();
        var targets = new TreeSet<>(plan.owners().get(block));
        if (knowsAccepted) {
            targets.retainAll(acceptedPlan.owners().get(block));
        }
        invariants.check(!targets.isEmpty(), "no owner of " + block);
        if (isNonIdempotent) {
            var shuffled = new ArrayList<>(targets);
            java.util.Collections.shuffle(shuffled, random);
            parts.add(new Part(now + STEP_MICROS * (1 + random.nextInt(10)), ++lastPartId, block, shuffled.remove(0),
                    activeVersion, shuffled));
        } else {
            queries.add(new Query(now + random.nextInt((int) MAX_QUERY_MICROS), block, activeVersion, targets));
        }
    }

    /** Advances the clock until every node's outage has ended. */
    void stepUntilAllNodesRun() {
        while (!downUntil.isEmpty()) {
            step();
        }
    }

    /** Advances the clock until every open query has read. */
    void runOpenQueries() {
        while (!queries.isEmpty()) {
            step();
        }
    }

    private void runDueQueries() {
        for (Query query : List.copyOf(queries)) {
            if (query.dueMicros() <= now) {
                queries.remove(query);
                query.owners().forEach(owner -> invariants.onRead(query.block(), query.version(), nodes.get(owner)));
            }
        }
        for (Part part : List.copyOf(parts)) {
            SimulatedNode node = nodes.get(part.node());
            if (part.dueMicros() <= now) {
                parts.remove(part);
                if (node.isDown) {
                    continue; // the outcome is unknown to the client: it does not send the part again
                }
                if (random.nextInt(4) == 0) { // a late duplicate
                    parts.add(new Part(now + STEP_MICROS * (20 + random.nextInt(100)), part.id(), part.block(),
                            part.node(),
                            part.version(), List.of()));
                }
                ReplicaRecord replica = node.replica(part.block());
                if (invariants.hasRun(part.id(), node)) {
                    continue; // a node recognizes the parts that it ran
                }
                if (replica.servesNonIdempotent(part.version())) {
                    invariants.onPartRun(part.id(), part.block(), node);
                } else {
                    node.replicas.put(part.block(), replica.afterRejecting(part.version()));
                    if (!part.remainingNodes().isEmpty()) {
                        parts.add(new Part(now + STEP_MICROS, part.id(), part.block(), part.remainingNodes().get(0),
                                part.version(),
                                part.remainingNodes().subList(1, part.remainingNodes().size())));
                    }
                }
            }
        }
    }

    void stopNode(String node, long micros) {
        nodes.get(node).isDown = true;
        downUntil.put(node, now + micros);
    }

    /** Replaces the leader by a new one that has no state. */
    void crashLeader() {
        leaders.clear();
        leaders.add(new Leader());
        deliverActiveVersion(leaders.get(0));
    }

    /** Pauses the leader and starts another one; after the pause both are active. */
    void pauseLeader(long micros) {
        leaders.get(leaders.size() - 1).pausedUntil = now + micros;
        leaders.add(new Leader());
        deliverActiveVersion(leaders.get(leaders.size() - 1));
    }

    void sendCommand(MigrationCoordinator.OperatorCommand command) {
        Leader leader = leaders.get(leaders.size() - 1);
        perform(leader, leader.coordinator.onCommand(now, command));
    }

    /** Has a version of another author accepted, unless one is accepted already. */
    void acceptConcurrentVersion() {
        if (acceptedPlan == null) {
            acceptedPlan = plan.withPaused(plan.paused());
            activeAt = now + 2 * STEP_MICROS;
        }
    }

    private MigrationPlan restartedPlan() {
        try {
            return plan.retargeted(plan.target(), 4);
        } catch (IncompatibleTargetException e) {
            throw new AssertionError(e);
        }
    }

    /** Ends all faults, has migrations restarted as an operator would, and returns whether they finish. */
    boolean recoverAndFinish() {
        loseRequestsUntil = 0;
        loseResponsesUntil = 0;
        corruptChunksUntil = 0;
        nodes.values().forEach(n -> n.otherMb = 0);
        for (int i = 0; i < 6_000; i++) {
            if (((plan.stopped() && plan.migrations().isEmpty()) || plan.paused() || plan.frozenBlocks().size() > 0)
                    && acceptedPlan == null) {
                acceptedPlan = restartedPlan();
                activeAt = now + STEP_MICROS;
            }
            step();
            if (leaders.get(leaders.size() - 1).coordinator.status().phase() == MigrationStatus.MigrationPhase.FINISHED
                    && now >= leaders.get(0).pausedUntil) {
                return true;
            }
        }
        return false;
    }
}

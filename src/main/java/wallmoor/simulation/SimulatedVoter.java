package wallmoor.simulation;

import java.util.List;
import java.util.stream.IntStream;
import wallmoor.rules.DocumentSchemas;
import wallmoor.rules.LeaseMessage;
import wallmoor.rules.LeaseMessage.LeaseRequest;
import wallmoor.rules.LeaseTable;
import wallmoor.rules.LogEntry;
import wallmoor.rules.RuleDocument;
import wallmoor.rules.RuleEvent;
import wallmoor.rules.RuleStateMachine;

/**
 * A simulated voter, which is a gatherer as well: the real {@link RuleStateMachine} and {@link LeaseTable} on a
 * {@link SimulatedLog}. It stands for election when it has received no heartbeat of a leader for a while. Times are
 * microseconds of its own clock.
 */
final class SimulatedVoter implements SimulatedCluster.SimulatedProcess, LeaseTable.Actions {
    private static final long ELECTION_TIMEOUT_MICROS = 1_000_000;
    private static final long VERDICT_INTERVAL_MICROS = ELECTION_TIMEOUT_MICROS / 2;

    private final RuleSimulation simulation;
    private final SimulatedCluster cluster;
    private final SimulatedLog log;
    private final int node;
    private final SimulatedGatherer gatherer;
    private final RuleStateMachine stateMachine;
    private final LeaseTable leases;
    private int appliedCount;
    private long lastHeartbeatAt;
    private long verdictSentAt;

    SimulatedVoter(RuleSimulation simulation, int node, int incarnation) {
        this.simulation = simulation;
        this.node = node;
        cluster = simulation.cluster();
        log = simulation.log();
        gatherer = new SimulatedGatherer(simulation, node, incarnation);
        stateMachine = new RuleStateMachine(simulation.voterNames());
        leases = new LeaseTable(RuleSimulation.nameOf(node), incarnation, simulation.timing(), stateMachine, this);
        lastHeartbeatAt = cluster.localTime(node, cluster.now());
        apply(lastHeartbeatAt, simulation.storedEntryCount(node));
    }

    SimulatedGatherer gatherer() {
        return gatherer;
    }

    RuleStateMachine stateMachine() {
        return stateMachine;
    }

    /** Handles the voter's election; an elected voter knows all entries of the log. */
    void onElected(long now) {
        apply(now, log.entries().size());
        leases.onElectionChanged(now, true);
    }

    @Override
    public void onMessage(long now, int from, Object message) {
        if (message instanceof SimulatedLog.LogNotice notice) {
            onNotice(now, notice);
        } else if (message instanceof LogEntry entry) {
            log.append(node, entry);
        } else if (message instanceof LeaseRequest request) {
            leases.onLeaseRequest(now, request);
        } else {
            gatherer.onMessage(now, from, message);
        }
    }

    private void onNotice(long now, SimulatedLog.LogNotice notice) {
        if (notice instanceof SimulatedLog.LogNotice.Attempt attempt) {
            log.decide(node, attempt);
        } else if (notice instanceof SimulatedLog.LogNotice.Committed committed) {
            apply(now, committed.upTo());
        } else if (notice instanceof SimulatedLog.LogNotice.Barrier barrier) {
            apply(now, barrier.upTo());
            if (barrier.success()) {
                leases.onBarrier(now, barrier.token());
            } else {
                leases.onBarrierFailed(now, barrier.token());
            }
        }
    }

    @Override
    public void onTick(long now) {
        int leaderEntryCount = log.receiveHeartbeat(node);
        leases.onElectionChanged(now, log.believesItLeads(node));
        if (leaderEntryCount >= 0) {
            lastHeartbeatAt = now;
            apply(now, leaderEntryCount);
        } else if (now - lastHeartbeatAt > ELECTION_TIMEOUT_MICROS
                + cluster.random().nextLong(ELECTION_TIMEOUT_MICROS)) {
            simulation.elect(node);
            lastHeartbeatAt = now;
        }
        sendVerdict(now);
        leases.onTick(now);
        gatherer.onTick(now);
    }

    private void sendVerdict(long now) {
        RuleDocument pending = stateMachine.pending(RuleSimulation.NAME);
        if (pending != null && now - verdictSentAt > VERDICT_INTERVAL_MICROS) {
            verdictSentAt = now;
            LogEntry verdict = DocumentSchemas.verdict(RuleSimulation.nameOf(node), simulation.schemas(), pending);
            IntStream.range(0, simulation.voterCount()).forEach(voter -> cluster.send(node, voter, verdict));
        }
    }

    private void apply(long now, long upTo) {
        for (; appliedCount < upTo; appliedCount++) {
            List<RuleEvent> events = stateMachine.apply(log.entries().get(appliedCount));
            leases.onApplied(now, events);
            for (RuleEvent event : events) {
                if (event instanceof RuleEvent.VersionPending) {
                    verdictSentAt = Long.MIN_VALUE / 2;
                } else if (event instanceof RuleEvent.ProposalRejected) {
                    simulation.countRejection();
                }
            }
        }
        simulation.storeEntryCount(node, appliedCount);
    }

    @Override
    public void send(String holder, LeaseMessage message) {
        cluster.send(node, RuleSimulation.nodeOf(holder), message);
    }

    @Override
    public void append(LogEntry entry) {
        log.append(node, entry);
    }

    @Override
    public void startBarrier(long token) {
        log.barrier(node, token);
    }
}

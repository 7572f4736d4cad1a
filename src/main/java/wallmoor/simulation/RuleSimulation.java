package wallmoor.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import wallmoor.rules.DocumentSchema;
import wallmoor.rules.DocumentSchemas;
import wallmoor.rules.EffectiveRule;
import wallmoor.rules.EffectiveRule.Basis;
import wallmoor.rules.LeaseTiming;
import wallmoor.rules.LogEntry;
import wallmoor.rules.RuleDocument;
import wallmoor.rules.RuleProposal;
import wallmoor.rules.RuleSnapshot;
import wallmoor.rules.RuleStateMachine;
import wallmoor.rules.VersionChain;

/**
 * Simulation of gatherers that agree on one document, {@link #NAME}, with the real deciders of {@code wallmoor.rules};
 * the first few nodes are voters as well. It owns what survives a process, which is each node's simulated disk, and
 * reports what nodes act on to an {@link InvariantChecker}. Times are microseconds.
 */
public final class RuleSimulation implements SimulatedCluster.ProcessListener {
    /** Name of the document. */
    public static final String NAME = "settings";

    private final LeaseTiming timing;
    private final Map<String, DocumentSchema> schemas = DocumentSchemas.all();
    private final int voterCount;
    private final List<String> voterNames;
    private final SimulatedCluster cluster;
    private final SimulatedLog log;
    private final InvariantChecker checker = new InvariantChecker();
    private final SimulatedGatherer[] gatherers;
    private final SimulatedVoter[] voters;
    /** By node, the versions on its disk. */
    private final List<List<VersionChain>> storedVersions = new ArrayList<>();
    /** By voter, how many entries of the log are on its disk. */
    private final int[] storedEntries;
    /** Follows the log itself, ahead of every voter. */
    private final RuleStateMachine decided;
    private int decidedEntries;
    private long rejections;
    private long denials;

    /**
     * Creates a simulation in which no process runs yet.
     *
     * @param tick      microseconds between two ticks of a process
     * @param lateShare share of the log's notices that take up to three seconds
     */
    public RuleSimulation(int voterCount, int nodes, LeaseTiming timing, long tick, double lateShare, long seed) {
        this.timing = timing;
        this.voterCount = voterCount;
        voterNames = IntStream.range(0, voterCount).mapToObj(RuleSimulation::nameOf).toList();
        cluster = new SimulatedCluster(nodes, tick, seed, this);
        log = new SimulatedLog(cluster, voterCount, lateShare);
        gatherers = new SimulatedGatherer[nodes];
        voters = new SimulatedVoter[voterCount];
        storedEntries = new int[voterCount];
        decided = new RuleStateMachine(voterNames);
        IntStream.range(0, nodes).forEach(node -> storedVersions.add(List.of()));
    }

    static String nameOf(int node) {
        return "g" + node;
    }

    static int nodeOf(String name) {
        return Integer.parseInt(name.substring(1));
    }

    /** Returns the processes' clocks and network. */
    public SimulatedCluster cluster() {
        return cluster;
    }

    /** Returns what checks the nodes' acts. */
    public InvariantChecker checker() {
        return checker;
    }

    SimulatedLog log() {
        return log;
    }

    LeaseTiming timing() {
        return timing;
    }

    Map<String, DocumentSchema> schemas() {
        return schemas;
    }

    int voterCount() {
        return voterCount;
    }

    List<String> voterNames() {
        return voterNames;
    }

    List<VersionChain> storedVersions(int node) {
        return storedVersions.get(node);
    }

    void storeVersions(int node, List<VersionChain> versions) {
        storedVersions.set(node, versions);
    }

    int storedEntries(int voter) {
        return storedEntries[voter];
    }

    void storeEntries(int voter, int count) {
        storedEntries[voter] = count;
    }

    void countRejection() {
        rejections++;
    }

    void countDenial() {
        denials++;
    }

    /** Starts a node's process, or ends it and starts another. */
    public void start(int node) {
        cluster.start(node, incarnation -> {
            if (node >= voterCount) {
                gatherers[node] = new SimulatedGatherer(this, node, incarnation);
                return gatherers[node];
            }
            log.onProcessEnded(node);
            voters[node] = new SimulatedVoter(this, node, incarnation);
            gatherers[node] = voters[node].gatherer();
            return voters[node];
        });
    }

    /** Starts all nodes. */
    public void startAll() {
        IntStream.range(0, gatherers.length).forEach(this::start);
    }

    /** Loses the versions on a node's disk; to be called before the node is started again. */
    public void loseStoredVersions(int node) {
        storedVersions.set(node, List.of());
    }

    /** Has a voter stand for election. */
    public void elect(int voter) {
        if (cluster.isRunning(voter) && log.elect(voter)) {
            voters[voter].onElected(cluster.localTime(voter, cluster.now()));
        }
    }

    /** Has a voter that believes it leads propose a version on the latest that it knows; false if there is none. */
    public boolean propose(String body, String fallback) {
        for (int voter = 0; voter < voterCount; voter++) {
            if (cluster.isRunning(voter) && log.believesItLeads(voter)) {
                RuleDocument latest = voters[voter].stateMachine().latestAccepted(NAME);
                var proposal = new RuleProposal(NAME, latest == null ? 0 : latest.version(),
                        latest == null ? "" : latest.hash(), "author", body, fallback);
                log.append(voter, new LogEntry.ProposeVersion(proposal));
                return true;
            }
        }
        return false;
    }

    /** Returns the rule in effect at a node now. */
    public EffectiveRule effectiveRule(int node) {
        return gatherers[node].holder().snapshot().effectiveRule(cluster.localTime(node, cluster.now()), NAME);
    }

    /** Returns the latest accepted version by the log itself, or 0. */
    public long latestAccepted() {
        for (; decidedEntries < log.entries().size(); decidedEntries++) {
            decided.apply(log.entries().get(decidedEntries));
        }
        RuleDocument latest = decided.latestAccepted(NAME);
        return latest == null ? 0 : latest.version();
    }

    /** Returns how many proposals were rejected, counted at each voter. */
    public long rejections() {
        return rejections;
    }

    /** Returns how many lease requests were denied. */
    public long denials() {
        return denials;
    }

    @Override
    public void onStep(int node, long at) {
        if (gatherers[node] == null) {
            return;
        }
        RuleSnapshot snapshot = gatherers[node].holder().snapshot();
        EffectiveRule rule = snapshot.effectiveRule(cluster.localTime(node, at), NAME);
        if (rule.basis() == Basis.VERSION || rule.basis() == Basis.CAREFUL) {
            checker.startedActing(node, at, rule.activeVersion(), rule.latestVersion(),
                    cluster.latestTrueTime(node, snapshot.leaseExpiry()));
        } else {
            checker.stoppedActing(node, at);
        }
    }

    @Override
    public void onStopped(int node, long at) {
        checker.stoppedActing(node, at);
    }
}

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
 * A simulation of gatherers that agree on one document, {@link #NAME}, with the real state machines of
 * {@code wallmoor.rules}; the first nodes are voters as well. It owns each node's simulated disk, which survives the
 * node's processes, and reports to an {@link InvariantChecker} which versions nodes act on. Times are microseconds.
 */
public final class RuleSimulation implements SimulatedCluster.ProcessListener {
    /** The name of the document. */
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
    /** By node, the versions on its simulated disk. */
    private final List<List<VersionChain>> storedVersions = new ArrayList<>();
    /** By voter, the number of log entries on its simulated disk. */
    private final int[] storedEntryCounts;
    /** Applies all committed entries of the log, including those that no voter has applied yet. */
    private final RuleStateMachine committedState;
    private int appliedEntryCount;
    private long rejections;
    private long denials;

    /**
     * Creates a simulation in which no process runs yet.
     *
     * @param tickMicros microseconds between two ticks of a process
     * @param lateShare  the share of the log's notices that take up to three seconds
     */
    public RuleSimulation(int voterCount, int nodes, LeaseTiming timing, long tickMicros, double lateShare, long seed) {
        this.timing = timing;
        this.voterCount = voterCount;
        voterNames = IntStream.range(0, voterCount).mapToObj(RuleSimulation::nameOf).toList();
        cluster = new SimulatedCluster(nodes, tickMicros, seed, this);
        log = new SimulatedLog(cluster, voterCount, lateShare);
        gatherers = new SimulatedGatherer[nodes];
        voters = new SimulatedVoter[voterCount];
        storedEntryCounts = new int[voterCount];
        committedState = new RuleStateMachine(voterNames);
        IntStream.range(0, nodes).forEach(node -> storedVersions.add(List.of()));
    }

    static String nameOf(int node) {
        return "g" + node;
    }

    static int nodeOf(String name) {
        return Integer.parseInt(name.substring(1));
    }

    /** Returns the simulated processes, clocks and network. */
    public SimulatedCluster cluster() {
        return cluster;
    }

    /** Returns the checker of the nodes' acts. */
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

    int storedEntryCount(int voter) {
        return storedEntryCounts[voter];
    }

    void storeEntryCount(int voter, int count) {
        storedEntryCounts[voter] = count;
    }

    void countRejection() {
        rejections++;
    }

    void countDenial() {
        denials++;
    }

    /** Starts a node's process, after ending the one that runs. */
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

    /** Erases the versions on a node's disk. To be called before the node is restarted. */
    public void loseStoredVersions(int node) {
        storedVersions.set(node, List.of());
    }

    /** Makes a voter stand for election. */
    public void elect(int voter) {
        if (cluster.isRunning(voter) && log.elect(voter)) {
            voters[voter].onElected(cluster.localTime(voter, cluster.now()));
        }
    }

    /** Makes a voter that believes it leads propose a successor of its latest version; false if there is none. */
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

    /** Returns the rule in effect at a node at the current time. */
    public EffectiveRule effectiveRule(int node) {
        return gatherers[node].holder().snapshot().effectiveRule(cluster.localTime(node, cluster.now()), NAME);
    }

    /** Returns the latest version that the committed entries of the log accept, or 0. */
    public long latestAccepted() {
        for (; appliedEntryCount < log.entries().size(); appliedEntryCount++) {
            committedState.apply(log.entries().get(appliedEntryCount));
        }
        RuleDocument latest = committedState.latestAccepted(NAME);
        return latest == null ? 0 : latest.version();
    }

    /** Returns the number of rejected proposals, counted once for each voter. */
    public long rejections() {
        return rejections;
    }

    /** Returns the number of denied lease requests. */
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

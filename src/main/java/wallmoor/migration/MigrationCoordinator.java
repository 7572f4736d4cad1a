package wallmoor.migration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import wallmoor.migration.MigrationAction.ProposePlan;
import wallmoor.migration.MigrationAction.SendRequest;
import wallmoor.migration.MigrationStatus.MigrationPhase;
import wallmoor.migration.MigrationStatus.MigrationProgress;

/**
 * Carries out the plan, one version after another: it issues requests to nodes, and proposes the next version when
 * their responses allow it. It acts on the active version only, so two coordinators at the same time do no harm. After
 * a crash at any point another one continues from the plan and the nodes' records. Not thread-safe.
 */
public final class MigrationCoordinator {
    /** An operator's command for all migrations. The names are stored in lower case. */
    public enum OperatorCommand {
        PAUSE, RESUME, STOP
    }

    private static final long NO_VERSION = -1;
    /** The block id of requests that list all replicas. */
    private static final String NO_BLOCK = "";

    private final MigrationSettings settings;
    private final CopyRateLimiter limiter;
    private final Map<String, MigrationTask> tasksByBlock = new TreeMap<>();
    private final Map<Long, String> blockByRequest = new HashMap<>();
    private final ReplicaSurvey survey;
    private long version = NO_VERSION;
    private MigrationPlan plan;
    private ProposePlan proposal;
    private long proposedAt;
    private long proposeNotBefore = Long.MIN_VALUE;
    private long lastRequestId;
    private OperatorCommand pendingCommand;
    private String lastFailure = "";

    /** Creates a coordinator without a plan; {@link #onVersionActive} sets the first one. */
    public MigrationCoordinator(MigrationSettings settings) {
        this.settings = settings;
        this.limiter = new CopyRateLimiter(settings.bytesPerSecond());
        this.survey = new ReplicaSurvey(settings);
    }

    /** Handles a version that is active everywhere: no gatherer acts on its parent version alone any more. */
    public List<MigrationAction> onVersionActive(long now, long newVersion, MigrationPlan newPlan) {
        if (newVersion > version) {
            version = newVersion;
            plan = newPlan;
            proposal = null;
            proposeNotBefore = Long.MIN_VALUE;
            tasksByBlock.values().removeIf(t -> !t.migration.equals(newPlan.migrations().get(t.migration.block())));
            newPlan.migrations().forEach((block, migration) -> tasksByBlock.computeIfAbsent(block,
                    k -> new MigrationTask(migration, settings, now)));
            blockByRequest.values().removeIf(block -> !block.equals(NO_BLOCK) && !tasksByBlock.containsKey(block));
            survey.reset();
        }
        return proceed(now);
    }

    /**
     * Handles a proposal that did not become the successor of this version: another one did, or the outcome is unknown.
     */
    public List<MigrationAction> onProposalRejected(long now, long parentVersion) {
        if (proposal != null && proposal.parentVersion() == parentVersion) {
            proposal = null;
            proposeNotBefore = now + settings.retryMicros(); // time for the accepted version to arrive
        }
        return proceed(now);
    }

    /** Handles a node's response. */
    public List<MigrationAction> onResponse(long now, long requestId, ReplicaResponse response) {
        limiter.onLoad(now, response.load());
        String block = blockByRequest.remove(requestId);
        if (NO_BLOCK.equals(block)) {
            survey.onResponse(requestId, response);
        } else {
            MigrationTask task = outstandingTask(block, requestId);
            if (task != null) {
                long limitMb = plan.target().usableMb(task.migration.to(), response.space().diskMb());
                task.onResponse(now, response, limitMb);
                if (!task.waitingFor.isEmpty() && task.successor() != null) {
                    lastFailure = block + ": " + task.waitingFor;
                }
            }
        }
        return proceed(now);
    }

    /** Handles a request to a node that did not respond in time, or could not be reached. */
    public List<MigrationAction> onRequestFailed(long now, long requestId, String reason) {
        String block = blockByRequest.remove(requestId);
        if (NO_BLOCK.equals(block)) {
            survey.onFailure(requestId, now, reason);
        } else {
            MigrationTask task = outstandingTask(block, requestId);
            if (task != null) {
                task.onFailure(now, reason);
            }
        }
        return proceed(now);
    }

    /** Returns the task that waits for the response to this request; null where none does any more. */
    private MigrationTask outstandingTask(String block, long requestId) {
        MigrationTask task = block == null ? null : tasksByBlock.get(block);
        return task != null && task.isOutstanding(requestId) ? task : null;
    }

    /** Handles the passage of time: issues requests and proposals that have become due. */
    public List<MigrationAction> onTick(long now) {
        return proceed(now);
    }

    /** Handles an operator's command; the last one stays pending until a version of the plan reflects it. */
    public List<MigrationAction> onCommand(long now, OperatorCommand command) {
        pendingCommand = command;
        return proceed(now);
    }

    /** Returns the present state, for operators. */
    public MigrationStatus status() {
        var progress = new ArrayList<MigrationProgress>();
        if (plan != null) {
            plan.migrations().values().forEach(m -> {
                MigrationTask task = tasksByBlock.get(m.block());
                progress.add(new MigrationProgress(m, task == null ? 0 : task.copiedFraction(),
                        task == null ? "" : task.waitingFor));
            });
        }
        return new MigrationStatus(version, phase(), progress, survey.blockedReason(), limiter.bytesPerSecond(),
                lastFailure);
    }

    private MigrationPhase phase() {
        if (plan == null) {
            return MigrationPhase.UNKNOWN;
        }
        if (!plan.migrations().isEmpty()) {
            return plan.paused() ? MigrationPhase.PAUSED : MigrationPhase.MOVING;
        }
        if (plan.stopped()) {
            return MigrationPhase.STOPPED;
        }
        if (survey.isTargetReached()) {
            return MigrationPhase.FINISHED;
        }
        return survey.blockedReason().isEmpty() ? MigrationPhase.PLANNING : MigrationPhase.STUCK;
    }

    private List<MigrationAction> proceed(long now) {
        var actions = new ArrayList<MigrationAction>();
        if (plan == null) {
            return actions;
        }
        sendRequests(now, actions);
        if (proposal != null) {
            if (now - proposedAt >= settings.retryMicros()) {
                proposedAt = now;
                actions.add(proposal);
            }
        } else if (now >= proposeNotBefore) {
            MigrationPlan successor = successor(now, actions);
            if (!successor.equals(plan)) {
                proposal = new ProposePlan(version, successor);
                proposedAt = now;
                actions.add(proposal);
            }
        }
        return actions;
    }

    private void sendRequests(long now, List<MigrationAction> actions) {
        tasksByBlock.forEach((block, task) -> {
            long limitMb = plan.target().usableMb(task.migration.to(), Long.MAX_VALUE);
            MigrationTask.NextRequest next = task.nextRequest(now, plan, limiter, limitMb);
            if (next != null) {
                task.onSent(send(actions, next.node(), block, next.request()));
            }
        });
    }

    private long send(List<MigrationAction> actions, String node, String block, ReplicaRequest request) {
        lastRequestId++;
        blockByRequest.put(lastRequestId, block);
        actions.add(new SendRequest(lastRequestId, node, block, version, request));
        return lastRequestId;
    }

    /**
     * Returns the next version to propose: after an operator's command, else after results of tasks, else after a
     * survey. It equals the plan where nothing changes.
     */
    private MigrationPlan successor(long now, List<MigrationAction> actions) {
        MigrationPlan successor = applyCommand();
        if (successor.equals(plan)) {
            successor = applyTasks();
        }
        if (successor.equals(plan) && plan.migrations().isEmpty() && !plan.stopped() && !plan.paused()) {
            for (String node : survey.nodesToRequest(now, plan.target())) {
                survey.onSent(send(actions, node, NO_BLOCK, new ReplicaRequest.ListReplicas()), node);
            }
            successor = Objects.requireNonNullElse(survey.planMigrations(now, plan), plan);
        }
        return successor;
    }

    private MigrationPlan applyCommand() {
        MigrationPlan successor = pendingCommand == null ? plan : plan.withCommand(pendingCommand);
        if (successor.equals(plan)) {
            pendingCommand = null; // the plan reflects the command, or there is none
        }
        return successor;
    }

    /** Returns the plan with the results of the tasks applied, and with the migrations begun that may begin. */
    private MigrationPlan applyTasks() {
        SortedMap<String, Migration> migrations = new TreeMap<>(plan.migrations());
        SortedMap<String, SortedSet<String>> owners = new TreeMap<>(plan.owners());
        boolean rolledBack = false;
        for (MigrationTask task : tasksByBlock.values()) {
            if (task.isComplete()) {
                migrations.remove(task.migration.block());
            } else if (task.successor() != null && updateOwners(task, owners)) {
                migrations.put(task.migration.block(), task.successor());
                rolledBack |= task.successor().stage() == MigrationStage.BACK;
            }
        }
        if (rolledBack) { // planned migrations may depend on the one rolled back: they are planned again
            migrations.values().removeIf(m -> m.stage() == MigrationStage.PLANNED);
        }
        beginPlanned(migrations);
        return plan.withMigrations(migrations, owners);
    }

    /** Updates the owners for a task's next stage; returns false where too few replicas would remain. */
    private boolean updateOwners(MigrationTask task, SortedMap<String, SortedSet<String>> owners) {
        String block = task.migration.block();
        var nodes = new TreeSet<>(owners.get(block));
        if (task.successor().stage() == MigrationStage.JOIN) {
            nodes.add(task.migration.to());
        } else if (task.successor().stage() == MigrationStage.SETTLE) {
            nodes.remove(task.migration.from());
            if (nodes.size() < plan.minCopies().getOrDefault(block, 1)) {
                task.waitingFor = "fewer than " + plan.minCopies().get(block) + " copies would be left";
                return false;
            }
        }
        owners.put(block, nodes);
        return true;
    }

    /** Begins planned migrations of the lowest wave, up to the limit of concurrent ones. */
    private void beginPlanned(SortedMap<String, Migration> migrations) {
        if (plan.paused() || plan.stopped()) {
            return;
        }
        int wave = migrations.values().stream().mapToInt(Migration::wave).min().orElse(0);
        long active = migrations.values().stream().filter(m -> m.stage() != MigrationStage.PLANNED
                && m.stage() != MigrationStage.SETTLE && m.stage() != MigrationStage.FORGET).count();
        for (Migration m : List.copyOf(migrations.values())) {
            if (active < plan.maxConcurrent() && m.stage() == MigrationStage.PLANNED && m.wave() == wave
                    && !plan.frozenBlocks().contains(m.block())) {
                migrations.put(m.block(), m.withStage(MigrationStage.PREPARE));
                active++;
            }
        }
    }
}

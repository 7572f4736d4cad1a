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
 * Carries out the plan, one version after another: has requests sent to nodes, and proposes the successor that their
 * responses allow. It acts on the active version alone, so that two coordinators beside each other do no harm, and one
 * that was killed at any point is continued from the plan and from the nodes' records. Not thread-safe.
 */
public final class MigrationCoordinator {
    /** What an operator wants of all migrations. The names are stored, in lower case. */
    public enum OperatorCommand {
        PAUSE, RESUME, STOP
    }

    private static final long NO_VERSION = -1;
    /** The "block" of requests to list all replicas. */
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

    /** A coordinator that knows no plan yet. */
    public MigrationCoordinator(MigrationSettings settings) {
        this.settings = settings;
        this.limiter = new CopyRateLimiter(settings.bytesPerSecond());
        this.survey = new ReplicaSurvey(settings);
    }

    /** A version became active everywhere: nobody acts on its parent alone any more. */
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

    /** The proposal after this version did not become the next one: another did, or the outcome is unknown. */
    public List<MigrationAction> onProposalRejected(long now, long parentVersion) {
        if (proposal != null && proposal.parentVersion() == parentVersion) {
            proposal = null;
            proposeNotBefore = now + settings.retryMicros(); // the version that won is on its way
        }
        return proceed(now);
    }

    /** A node responded. */
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

    /** A node did not respond in time, or could not be reached. */
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

    /** The task that waits for this request; null where none does any more. */
    private MigrationTask outstandingTask(String block, long requestId) {
        MigrationTask task = block == null ? null : tasksByBlock.get(block);
        return task != null && task.isOutstanding(requestId) ? task : null;
    }

    /** Time passed. */
    public List<MigrationAction> onTick(long now) {
        return proceed(now);
    }

    /** An operator gave a command; the last one holds until a version of the plan reflects it. */
    public List<MigrationAction> onCommand(long now, OperatorCommand command) {
        pendingCommand = command;
        return proceed(now);
    }

    /** The present state, for operators. */
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

    /** What the plan should become: by an operator's command, else by what the tasks did, else by a new survey. */
    private MigrationPlan successor(long now, List<MigrationAction> actions) {
        MigrationPlan successor = applyCommand();
        if (successor.equals(plan)) {
            successor = applyTasks();
        }
        if (successor.equals(plan) && plan.migrations().isEmpty() && !plan.stopped() && !plan.paused()) {
            for (String node : survey.nodesToAsk(now, plan.target())) {
                survey.onSent(send(actions, node, NO_BLOCK, new ReplicaRequest.ListReplicas()), node);
            }
            successor = Objects.requireNonNullElse(survey.planMigrations(now, plan), plan);
        }
        return successor;
    }

    private MigrationPlan applyCommand() {
        MigrationPlan successor = pendingCommand == null ? plan : plan.withCommand(pendingCommand);
        if (successor.equals(plan)) {
            pendingCommand = null; // the plan reflects it
        }
        return successor;
    }

    /** The plan with the tasks' results, and with the migrations that may begin. */
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
        if (rolledBack) { // the rest was planned together with it: it is planned anew
            migrations.values().removeIf(m -> m.stage() == MigrationStage.PLANNED);
        }
        beginPlanned(migrations);
        return plan.withMigrations(migrations, owners);
    }

    /** Updates the owners for a task's next stage; false where too few replicas would remain. */
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

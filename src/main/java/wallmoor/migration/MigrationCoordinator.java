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

/**
 * Carries out what the plan says, one version after another: asks nodes, and proposes the version that their answers
 * allow. It acts on the version that acts and on nothing else, so two of these do no harm beside each other, and one
 * that was stopped at any point goes on from the plan and from what nodes say. Times are microseconds on any clock that
 * goes on.
 */
public final class MigrationCoordinator {
    /** What operators want of it. */
    public enum OperatorCommand {
        PAUSE, RESUME, STOP
    }

    private final MigrationSettings settings;
    private final CopyRateLimiter pace;
    private final Map<String, MigrationTask> works = new TreeMap<>();
    private final Map<Long, String> asked = new HashMap<>();
    private final ReplicaSurvey survey;
    private long number = -1;
    private MigrationPlan state;
    private ProposePlan proposed;
    private long proposedAt;
    private long quiet = Long.MIN_VALUE;
    private long ids;
    private OperatorCommand wish;
    private String last = "";

    /** One that knows nothing yet. */
    public MigrationCoordinator(MigrationSettings settings) {
        this.settings = settings;
        this.pace = new CopyRateLimiter(settings.bytesPerSecond());
        this.survey = new ReplicaSurvey(settings);
    }

    /** A version acts, here and everywhere: nobody acts on the one before alone. */
    public List<MigrationAction> onVersionActive(long now, long version, MigrationPlan says) {
        if (version > number) {
            number = version;
            state = says;
            proposed = null;
            quiet = Long.MIN_VALUE;
            works.values().removeIf(w -> !w.carry.equals(says.migrations().get(w.carry.block())));
            says.migrations().forEach((b, c) -> works.computeIfAbsent(b, k -> new MigrationTask(c, settings, now)));
            asked.values().removeIf(b -> !b.isEmpty() && !works.containsKey(b));
            survey.forget();
        }
        return go(now);
    }

    /** The proposal after this version did not become the next: another one did, or nobody could say. */
    public List<MigrationAction> onProposalRejected(long now, long parent) {
        if (proposed != null && proposed.parentVersion() == parent) {
            proposed = null;
            quiet = now + settings.retryMicros(); // the version that won is on its way
        }
        return go(now);
    }

    /** A node has answered. */
    public List<MigrationAction> onResponse(long now, long id, ReplicaResponse said) {
        pace.onLoad(now, said.load());
        String block = asked.remove(id);
        if (block != null && block.isEmpty()) {
            survey.answered(id, said);
        } else if (block != null && works.get(block) != null && works.get(block).out == id) {
            MigrationTask w = works.get(block);
            w.answered(now, said, state.target().usableMb(w.carry.to(), said.space().diskMb()));
            if (!w.waits.isEmpty() && w.next != null) {
                last = block + ": " + w.waits;
            }
        }
        return go(now);
    }

    /** A node did not answer in time, or could not be reached. */
    public List<MigrationAction> onRequestFailed(long now, long id, String why) {
        String block = asked.remove(id);
        if (block != null && block.isEmpty()) {
            survey.failed(id, now, why);
        } else if (block != null && works.get(block) != null && works.get(block).out == id) {
            works.get(block).failed(now, why);
        }
        return go(now);
    }

    /** Time goes on. */
    public List<MigrationAction> onTick(long now) {
        return go(now);
    }

    /** An operator wants something; the last wish holds until a version says it. */
    public List<MigrationAction> onCommand(long now, OperatorCommand said) {
        wish = said;
        return go(now);
    }

    /** Where it stands. */
    public MigrationStatus status() {
        var moves = new ArrayList<MigrationStatus.MigrationProgress>();
        if (state != null) {
            state.migrations().values().forEach(c -> {
                MigrationTask w = works.get(c.block());
                moves.add(
                        new MigrationStatus.MigrationProgress(c, w == null ? 0 : w.there(), w == null ? "" : w.waits));
            });
        }
        return new MigrationStatus(number,
                state == null ? MigrationStatus.MigrationPhase.UNKNOWN
                        : state.stopped() && moves.isEmpty() ? MigrationStatus.MigrationPhase.STOPPED
                                : !moves.isEmpty()
                                        ? state.paused() ? MigrationStatus.MigrationPhase.PAUSED
                                                : MigrationStatus.MigrationPhase.MOVING
                                        : survey.finished() ? MigrationStatus.MigrationPhase.FINISHED
                                                : survey.stuck().isEmpty() ? MigrationStatus.MigrationPhase.PLANNING
                                                        : MigrationStatus.MigrationPhase.STUCK,
                moves, survey.stuck(), pace.rate(), last);
    }

    private List<MigrationAction> go(long now) {
        var actions = new ArrayList<MigrationAction>();
        if (state == null) {
            return actions;
        }
        works.forEach((block, w) -> {
            MigrationTask.NextRequest next = w.next(now, state, pace,
                    state.target().usableMb(w.carry.to(), Long.MAX_VALUE));
            if (next != null) {
                w.out = send(actions, next.node(), block, next.ask());
            }
        });
        if (proposed != null) {
            if (now - proposedAt >= settings.retryMicros()) {
                proposedAt = now;
                actions.add(proposed);
            }
            return actions;
        }
        if (now < quiet) {
            return actions;
        }
        MigrationPlan next = wished();
        if (next.equals(state)) {
            next = changed();
        }
        if (next.equals(state) && state.migrations().isEmpty() && !state.stopped() && !state.paused()) {
            for (String node : survey.due(now, state.target())) {
                survey.asked(send(actions, node, "", new ReplicaRequest.ListReplicas()), node);
            }
            next = Objects.requireNonNullElse(survey.plan(now, state), state);
        }
        if (!next.equals(state)) {
            proposed = new ProposePlan(number, next);
            proposedAt = now;
            actions.add(proposed);
        }
        return actions;
    }

    private long send(List<MigrationAction> to, String node, String block, ReplicaRequest ask) {
        asked.put(++ids, block);
        to.add(new SendRequest(ids, node, block, number, ask));
        return ids;
    }

    private MigrationPlan wished() {
        MigrationPlan next = wish == null ? state : state.withCommand(wish);
        if (next.equals(state)) {
            wish = null; // the plan says it
        }
        return next;
    }

    /** The plan with what has come of its moves, and with those that may begin. */
    private MigrationPlan changed() {
        SortedMap<String, Migration> moves = new TreeMap<>(state.migrations());
        SortedMap<String, SortedSet<String>> owners = new TreeMap<>(state.owners());
        boolean given = false;
        for (MigrationTask w : works.values()) {
            if (w.over) {
                moves.remove(w.carry.block());
            } else if (w.next != null && step(w, owners)) {
                moves.put(w.carry.block(), w.next);
                given |= w.next.stage() == MigrationStage.BACK;
            }
        }
        if (given) {
            // the rest was planned with it: a new plan is made
            moves.values().removeIf(c -> c.stage() == MigrationStage.PLANNED);
        }
        begin(moves);
        return state.withMigrations(moves, owners);
    }

    /** Changes the owners for a step; false where it may not be taken. */
    private boolean step(MigrationTask w, SortedMap<String, SortedSet<String>> owners) {
        String block = w.carry.block();
        var on = new TreeSet<>(owners.get(block));
        if (w.next.stage() == MigrationStage.JOIN) {
            on.add(w.carry.to());
        } else if (w.next.stage() == MigrationStage.SETTLE) {
            on.remove(w.carry.from());
            if (on.size() < state.minCopies().getOrDefault(block, 1)) {
                w.waits = "fewer than " + state.minCopies().get(block) + " copies would be left";
                return false;
            }
        }
        owners.put(block, on);
        return true;
    }

    private void begin(SortedMap<String, Migration> moves) {
        if (state.paused() || state.stopped()) {
            return;
        }
        int wave = moves.values().stream().mapToInt(Migration::wave).min().orElse(0);
        long busy = moves.values().stream()
                .filter(c -> c.stage() != MigrationStage.PLANNED && c.stage() != MigrationStage.SETTLE
                        && c.stage() != MigrationStage.FORGET)
                .count();
        for (Migration c : List.copyOf(moves.values())) {
            if (busy < state.maxConcurrent() && c.stage() == MigrationStage.PLANNED && c.wave() == wave
                    && !state.frozenBlocks().contains(c.block())) {
                moves.put(c.block(), c.withStage(MigrationStage.PREPARE));
                busy++;
            }
        }
    }
}

package wallmoor.moves;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import wallmoor.moves.Action.Propose;
import wallmoor.moves.Action.Send;

/**
 * Carries out what the plan says, one version after another: asks nodes, and proposes the version that their answers
 * allow. It acts on the version that acts and on nothing else, so two of these do no harm beside each other, and one
 * that was stopped at any point goes on from the plan and from what nodes say. Times are microseconds on any clock that
 * goes on.
 */
public final class Mover {
    /** What operators want of it. */
    public enum Wish {
        PAUSE, RESUME, STOP
    }

    private final Settings settings;
    private final Pace pace;
    private final Map<String, Work> works = new TreeMap<>();
    private final Map<Long, String> asked = new HashMap<>();
    private final Survey survey;
    private long number = -1;
    private State state;
    private Propose proposed;
    private long proposedAt;
    private long quiet = Long.MIN_VALUE;
    private long ids;
    private Wish wish;
    private String last = "";

    /** One that knows nothing yet. */
    public Mover(Settings settings) {
        this.settings = settings;
        this.pace = new Pace(settings.bytesPerSecond());
        this.survey = new Survey(settings);
    }

    /** A version acts, here and everywhere: nobody acts on the one before alone. */
    public List<Action> onActs(long now, long version, State says) {
        if (version > number) {
            number = version;
            state = says;
            proposed = null;
            quiet = Long.MIN_VALUE;
            works.values().removeIf(w -> !w.carry.equals(says.moves().get(w.carry.block())));
            says.moves().forEach((b, c) -> works.computeIfAbsent(b, k -> new Work(c, settings, now)));
            asked.values().removeIf(b -> !b.isEmpty() && !works.containsKey(b));
            survey.forget();
        }
        return go(now);
    }

    /** The proposal after this version did not become the next: another one did, or nobody could say. */
    public List<Action> onRefused(long now, long parent) {
        if (proposed != null && proposed.parent() == parent) {
            proposed = null;
            quiet = now + settings.again(); // the version that won is on its way
        }
        return go(now);
    }

    /** A node has answered. */
    public List<Action> onAnswer(long now, long id, Said said) {
        pace.load(now, said.load());
        String block = asked.remove(id);
        if (block != null && block.isEmpty()) {
            survey.answered(id, said);
        } else if (block != null && works.get(block) != null && works.get(block).out == id) {
            Work w = works.get(block);
            w.answered(now, said, state.goal().usable(w.carry.to(), said.room().diskMb()));
            if (!w.waits.isEmpty() && w.next != null) {
                last = block + ": " + w.waits;
            }
        }
        return go(now);
    }

    /** A node did not answer in time, or could not be reached. */
    public List<Action> onFailed(long now, long id, String why) {
        String block = asked.remove(id);
        if (block != null && block.isEmpty()) {
            survey.failed(id, now, why);
        } else if (block != null && works.get(block) != null && works.get(block).out == id) {
            works.get(block).failed(now, why);
        }
        return go(now);
    }

    /** Time goes on. */
    public List<Action> onTick(long now) {
        return go(now);
    }

    /** An operator wants something; the last wish holds until a version says it. */
    public List<Action> onWish(long now, Wish said) {
        wish = said;
        return go(now);
    }

    /** Where it stands. */
    public Status status() {
        var moves = new ArrayList<Status.Moving>();
        if (state != null) {
            state.moves().values().forEach(c -> {
                Work w = works.get(c.block());
                moves.add(new Status.Moving(c, w == null ? 0 : w.there(), w == null ? "" : w.waits));
            });
        }
        return new Status(number,
                state == null ? Status.Phase.UNKNOWN : state.stopped() && moves.isEmpty() ? Status.Phase.STOPPED
                        : !moves.isEmpty() ? state.paused() ? Status.Phase.PAUSED : Status.Phase.MOVING
                                : survey.finished() ? Status.Phase.FINISHED
                                        : survey.stuck().isEmpty() ? Status.Phase.PLANNING
                                                : Status.Phase.STUCK,
                moves, survey.stuck(), pace.rate(), last);
    }

    private List<Action> go(long now) {
        var actions = new ArrayList<Action>();
        if (state == null) {
            return actions;
        }
        works.forEach((block, w) -> {
            Work.Next next = w.next(now, state, pace, state.goal().usable(w.carry.to(), Long.MAX_VALUE));
            if (next != null) {
                w.out = send(actions, next.node(), block, next.ask());
            }
        });
        if (proposed != null) {
            if (now - proposedAt >= settings.again()) {
                proposedAt = now;
                actions.add(proposed);
            }
            return actions;
        }
        if (now < quiet) {
            return actions;
        }
        State next = wished();
        if (next.equals(state)) {
            next = changed();
        }
        if (next.equals(state) && state.moves().isEmpty() && !state.stopped() && !state.paused()) {
            for (String node : survey.due(now, state.goal())) {
                survey.asked(send(actions, node, "", new Ask.Tell()), node);
            }
            next = Objects.requireNonNullElse(survey.plan(now, state), state);
        }
        if (!next.equals(state)) {
            proposed = new Propose(number, next);
            proposedAt = now;
            actions.add(proposed);
        }
        return actions;
    }

    private long send(List<Action> to, String node, String block, Ask ask) {
        asked.put(++ids, block);
        to.add(new Send(ids, node, block, number, ask));
        return ids;
    }

    private State wished() {
        State next = wish == null ? state : state.wished(wish);
        if (next.equals(state)) {
            wish = null; // the plan says it
        }
        return next;
    }

    /** The plan with what has come of its moves, and with those that may begin. */
    private State changed() {
        SortedMap<String, Carry> moves = new TreeMap<>(state.moves());
        SortedMap<String, SortedSet<String>> owners = new TreeMap<>(state.owners());
        boolean given = false;
        for (Work w : works.values()) {
            if (w.over) {
                moves.remove(w.carry.block());
            } else if (w.next != null && step(w, owners)) {
                moves.put(w.carry.block(), w.next);
                given |= w.next.stage() == Stage.BACK;
            }
        }
        if (given) {
            // the rest was planned with it: a new plan is made
            moves.values().removeIf(c -> c.stage() == Stage.PLANNED);
        }
        begin(moves);
        return state.with(moves, owners);
    }

    /** Changes the owners for a step; false where it may not be taken. */
    private boolean step(Work w, SortedMap<String, SortedSet<String>> owners) {
        String block = w.carry.block();
        var on = new TreeSet<>(owners.get(block));
        if (w.next.stage() == Stage.JOIN) {
            on.add(w.carry.to());
        } else if (w.next.stage() == Stage.SETTLE) {
            on.remove(w.carry.from());
            if (on.size() < state.copies().getOrDefault(block, 1)) {
                w.waits = "fewer than " + state.copies().get(block) + " copies would be left";
                return false;
            }
        }
        owners.put(block, on);
        return true;
    }

    private void begin(SortedMap<String, Carry> moves) {
        if (state.paused() || state.stopped()) {
            return;
        }
        int wave = moves.values().stream().mapToInt(Carry::wave).min().orElse(0);
        long busy = moves.values().stream().filter(c -> c.stage() != Stage.PLANNED && c.stage() != Stage.SETTLE
                && c.stage() != Stage.FORGET).count();
        for (Carry c : List.copyOf(moves.values())) {
            if (busy < state.atOnce() && c.stage() == Stage.PLANNED && c.wave() == wave
                    && !state.frozen().contains(c.block())) {
                moves.put(c.block(), c.at(Stage.PREPARE));
                busy++;
            }
        }
    }
}

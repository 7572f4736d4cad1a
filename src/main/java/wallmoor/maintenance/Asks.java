package wallmoor.maintenance;

import java.util.SortedMap;
import java.util.TreeMap;

/** What staff ask, as the next version of the state. Each may be asked again: what is so already stays as it is. */
public final class Asks {
    /**
     * With their reasons so many fit a document ({@code versions.Ledger.MOST_TEXT}, 524,288 characters), each in some
     * 400.
     */
    public static final int MOST_WISHES = 1_000;
    /** Characters of a reason, of who asks, of an id and of a machine together. */
    public static final int MOST_TEXT = 300;

    private Asks() {}

    /**
     * Asks that a machine be taken out.
     *
     * @throws AskException where the id is another wish's, the machine has a wish that is not over, its texts are too
     *                      long, or there are too many wishes
     */
    public static State ask(State state, Wish wish, long now) throws AskException {
        Standing known = state.wishes().get(wish.id());
        if (known != null) {
            if (known.wish().equals(wish)) {
                return state;
            }
            throw new AskException(
                    wish.id() + " is another wish, of " + known.wish().machine() + "; ask under another id");
        }
        if (wish.id().length() + wish.machine().length() + wish.reason().length() + wish.who().length() > MOST_TEXT) {
            throw new AskException(
                    "id, machine, reason and who have more than " + MOST_TEXT + " characters together; say less");
        }
        Standing other = state.of(wish.machine());
        if (other != null) {
            throw new AskException(
                    wish.machine() + " has the wish " + other.wish().id() + ", which is " + other.step().word()
                            + "; withdraw it first");
        }
        SortedMap<String, Standing> next = new TreeMap<>(state.wishes());
        if (next.size() >= MOST_WISHES) {
            // the oldest that is over is forgotten; its id asked once more is a new wish
            String oldest = next.values().stream().filter(s -> s.step().over() && !s.ours())
                    .min((a, b) -> Long.compare(a.since(), b.since())).map(s -> s.wish().id())
                    .orElseThrow(() -> new AskException(
                            MOST_WISHES + " wishes are not over; ask again when some are, or withdraw some"));
            next.remove(oldest);
        }
        next.put(wish.id(), Standing.asked(wish, now));
        return new State(next, state.order().stream().filter(next::containsKey).toList(), state.held());
    }

    /**
     * Takes a wish back. A machine that drains serves again.
     *
     * @throws AskException where there is none, or its machine is out: then it ends when that is back
     */
    public static State withdraw(State state, String id, long now) throws AskException {
        Standing s = known(state, id);
        if (s.step().over()) {
            return state;
        }
        if (s.step().away() && s.step() != Step.DRAINING) {
            throw new AskException(
                    s.wish().machine() + " is " + s.step().word() + "; its wish ends when it is back and warm");
        }
        return put(state, s.at(Step.GIVEN_UP, now, java.util.List.of(Reason.of(Rule.WITHDRAWN))));
    }

    /** Holds one wish, or goes on with it. @throws AskException where there is none */
    public static State hold(State state, String id, boolean hold) throws AskException {
        return put(state, known(state, id).hold(hold));
    }

    /** Holds the whole order, or goes on: nothing begins, what drains serves again, what is out may come back. */
    public static State hold(State state, boolean hold) {
        return new State(state.wishes(), state.order(), hold);
    }

    /**
     * Says that a machine's work is done, where it needed no start that would be seen.
     *
     * @throws AskException where there is no such wish, or its machine is not out
     */
    public static State back(State state, String id) throws AskException {
        Standing s = known(state, id);
        if (s.step() != Step.OUT && s.step() != Step.OVERDUE && s.step() != Step.RETURNING) {
            throw new AskException(s.wish().machine() + " is not out: it is " + s.step().word());
        }
        return put(state, s.back(true));
    }

    private static Standing known(State state, String id) throws AskException {
        Standing s = state.wishes().get(id);
        if (s == null) {
            throw new AskException("there is no wish " + id);
        }
        return s;
    }

    private static State put(State state, Standing s) {
        SortedMap<String, Standing> next = new TreeMap<>(state.wishes());
        next.put(s.wish().id(), s);
        return state.with(next);
    }
}

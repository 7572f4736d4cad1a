package wallmoor.maintenance;

import java.util.SortedMap;
import java.util.TreeMap;

/** What staff ask, as the next version of the state. Each may be asked again: what is so already stays as it is. */
public final class RequestOperations {
    /**
     * With their reasons so many fit a document ({@code versions.Ledger.MOST_TEXT}, 524,288 characters), each in some
     * 400.
     */
    public static final int MAX_REQUESTS = 1_000;
    /** Characters of a reason, of who asks, of an id and of a machine together. */
    public static final int MAX_TEXT = 300;

    private RequestOperations() {}

    /**
     * Asks that a machine be taken out.
     *
     * @throws RequestRejectedException where the id is another wish's, the machine has a wish that is not over, its
     *         texts are too
     *                      long, or there are too many wishes
     */
    public static MaintenanceState submit(MaintenanceState state, MaintenanceRequest wish, long now)
            throws RequestRejectedException {
        RequestStatus known = state.requests().get(wish.id());
        if (known != null) {
            if (known.request().equals(wish)) {
                return state;
            }
            throw new RequestRejectedException(
                    wish.id() + " is another wish, of " + known.request().machine() + "; ask under another id");
        }
        if (wish.id().length() + wish.machine().length() + wish.reason().length()
                + wish.requester().length() > MAX_TEXT) {
            throw new RequestRejectedException(
                    "id, machine, reason and who have more than " + MAX_TEXT + " characters together; say less");
        }
        RequestStatus other = state.openRequest(wish.machine());
        if (other != null) {
            throw new RequestRejectedException(
                    wish.machine() + " has the wish " + other.request().id() + ", which is " + other.stage().word()
                            + "; withdraw it first");
        }
        SortedMap<String, RequestStatus> next = new TreeMap<>(state.requests());
        if (next.size() >= MAX_REQUESTS) {
            // the oldest that is over is forgotten; its id asked once more is a new wish
            String oldest = next.values().stream().filter(s -> s.stage().isFinal() && !s.drainedByOrder())
                    .min((a, b) -> Long.compare(a.since(), b.since())).map(s -> s.request().id())
                    .orElseThrow(() -> new RequestRejectedException(
                            MAX_REQUESTS + " wishes are not over; ask again when some are, or withdraw some"));
            next.remove(oldest);
        }
        next.put(wish.id(), RequestStatus.asked(wish, now));
        return new MaintenanceState(next, state.order().stream().filter(next::containsKey).toList(), state.held());
    }

    /**
     * Takes a wish back. A machine that drains serves again.
     *
     * @throws RequestRejectedException where there is none, or its machine is out: then it ends when that is back
     */
    public static MaintenanceState withdraw(MaintenanceState state, String id, long now)
            throws RequestRejectedException {
        RequestStatus s = known(state, id);
        if (s.stage().isFinal()) {
            return state;
        }
        if (s.stage().isOut() && s.stage() != MaintenanceStage.DRAINING) {
            throw new RequestRejectedException(
                    s.request().machine() + " is " + s.stage().word() + "; its wish ends when it is back and warm");
        }
        return put(state, s.at(MaintenanceStage.GIVEN_UP, now,
                java.util.List.of(MaintenanceConstraint.of(MaintenanceRule.WITHDRAWN))));
    }

    /** Holds one wish, or goes on with it. @throws AskException where there is none */
    public static MaintenanceState hold(MaintenanceState state, String id, boolean hold)
            throws RequestRejectedException {
        return put(state, known(state, id).heldByStaff(hold));
    }

    /** Holds the whole order, or goes on: nothing begins, what drains serves again, what is out may come back. */
    public static MaintenanceState hold(MaintenanceState state, boolean hold) {
        return new MaintenanceState(state.requests(), state.order(), hold);
    }

    /**
     * Says that a machine's work is done, where it needed no start that would be seen.
     *
     * @throws RequestRejectedException where there is no such wish, or its machine is not out
     */
    public static MaintenanceState markReturned(MaintenanceState state, String id) throws RequestRejectedException {
        RequestStatus s = known(state, id);
        if (s.stage() != MaintenanceStage.OUT && s.stage() != MaintenanceStage.OVERDUE
                && s.stage() != MaintenanceStage.RETURNING) {
            throw new RequestRejectedException(s.request().machine() + " is not out: it is " + s.stage().word());
        }
        return put(state, s.returned(true));
    }

    private static RequestStatus known(MaintenanceState state, String id) throws RequestRejectedException {
        RequestStatus s = state.requests().get(id);
        if (s == null) {
            throw new RequestRejectedException("there is no wish " + id);
        }
        return s;
    }

    private static MaintenanceState put(MaintenanceState state, RequestStatus s) {
        SortedMap<String, RequestStatus> next = new TreeMap<>(state.requests());
        next.put(s.request().id(), s);
        return state.with(next);
    }
}

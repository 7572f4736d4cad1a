package wallmoor.maintenance;

import java.util.Comparator;
import java.util.List;
import java.util.NavigableMap;
import java.util.TreeMap;

/** Staff's operations on requests, each as the next version of the state. All are idempotent. */
public final class RequestOperations {
    /** So many requests, each with its reasons in some 400 characters, fit the document (524,288 characters). */
    public static final int MAX_REQUESTS = 1_000;
    /** Characters of a request's id, machine, reason and requester together. */
    public static final int MAX_TEXT = 300;

    private RequestOperations() {}

    /**
     * Submits a request.
     *
     * @throws RequestRejectedException where the id is another request's, the machine has an open request, the texts
     *                                  are too long, or there are too many requests
     */
    public static MaintenanceState submit(MaintenanceState state, MaintenanceRequest request, long now)
            throws RequestRejectedException {
        RequestStatus known = state.requests().get(request.id());
        if (known != null) {
            if (known.request().equals(request)) {
                return state;
            }
            throw new RequestRejectedException(request.id() + " is another wish, of " + known.request().machine()
                    + "; ask under another id");
        }
        if (textLength(request) > MAX_TEXT) {
            throw new RequestRejectedException("id, machine, reason and who have more than " + MAX_TEXT
                    + " characters together; say less");
        }
        RequestStatus open = state.openRequest(request.machine());
        if (open != null) {
            throw new RequestRejectedException(request.machine() + " has the wish " + open.request().id()
                    + ", which is " + open.stage().word() + "; withdraw it first");
        }
        NavigableMap<String, RequestStatus> next = new TreeMap<>(state.requests());
        if (next.size() >= MAX_REQUESTS) {
            next.remove(oldestEnded(next));
        }
        next.put(request.id(), RequestStatus.asked(request, now));
        return new MaintenanceState(next, state.order().stream().filter(next::containsKey).toList(), state.held());
    }

    private static int textLength(MaintenanceRequest request) {
        return request.id().length() + request.machine().length() + request.reason().length()
                + request.requester().length();
    }

    /** The request to forget in favour of a new one; its id is free again then. */
    private static String oldestEnded(NavigableMap<String, RequestStatus> requests) throws RequestRejectedException {
        return requests.values().stream().filter(status -> status.stage().isFinal() && !status.drainedByOrder())
                .min(Comparator.comparingLong(RequestStatus::since)).map(status -> status.request().id())
                .orElseThrow(() -> new RequestRejectedException(
                        MAX_REQUESTS + " wishes are not over; ask again when some are, or withdraw some"));
    }

    /**
     * Withdraws a request. A draining machine serves again.
     *
     * @throws RequestRejectedException where there is none, or its machine is out: then it ends when that is back
     */
    public static MaintenanceState withdraw(MaintenanceState state, String id, long now)
            throws RequestRejectedException {
        RequestStatus status = existing(state, id);
        if (status.stage().isFinal()) {
            return state;
        }
        if (status.stage().isOut() && status.stage() != MaintenanceStage.DRAINING) {
            throw new RequestRejectedException(status.request().machine() + " is " + status.stage().word()
                    + "; its wish ends when it is back and warm");
        }
        return with(state, status.at(MaintenanceStage.GIVEN_UP, now,
                List.of(MaintenanceConstraint.of(MaintenanceRule.WITHDRAWN))));
    }

    /** Holds one request, or resumes it. @throws RequestRejectedException where there is none */
    public static MaintenanceState hold(MaintenanceState state, String id, boolean hold)
            throws RequestRejectedException {
        return with(state, existing(state, id).withHeldByStaff(hold));
    }

    /** Holds the complete order, or resumes it: nothing begins, what drains serves again, what is out may come back. */
    public static MaintenanceState hold(MaintenanceState state, boolean hold) {
        return new MaintenanceState(state.requests(), state.order(), hold);
    }

    /**
     * Says that the work on a machine is done, where no restart would show it.
     *
     * @throws RequestRejectedException where there is no such request, or its machine is not out
     */
    public static MaintenanceState markReturned(MaintenanceState state, String id) throws RequestRejectedException {
        RequestStatus status = existing(state, id);
        MaintenanceStage stage = status.stage();
        if (stage != MaintenanceStage.OUT && stage != MaintenanceStage.OVERDUE
                && stage != MaintenanceStage.RETURNING) {
            throw new RequestRejectedException(status.request().machine() + " is not out: it is " + stage.word());
        }
        return with(state, status.withReturned(true));
    }

    private static RequestStatus existing(MaintenanceState state, String id) throws RequestRejectedException {
        RequestStatus status = state.requests().get(id);
        if (status == null) {
            throw new RequestRejectedException("there is no wish " + id);
        }
        return status;
    }

    private static MaintenanceState with(MaintenanceState state, RequestStatus status) {
        NavigableMap<String, RequestStatus> next = new TreeMap<>(state.requests());
        next.put(status.request().id(), status);
        return state.with(next);
    }
}

package wallmoor.maintenance;

import java.util.Comparator;
import java.util.List;
import java.util.NavigableMap;
import java.util.TreeMap;

/** The operations of staff on requests. Each returns the next version of the state; all are idempotent. */
public final class RequestOperations {
    /** Maximum number of requests. With 400 characters each, reasons included, they fit the document (524,288). */
    public static final int MAX_REQUESTS = 1_000;
    /** Maximum total length of a request's id, machine, reason and requester, in characters. */
    public static final int MAX_TEXT_CHARS = 300;

    private RequestOperations() {}

    /**
     * Submits a request.
     *
     * @throws RequestRejectedException if the id belongs to another request, the machine has an open request, the texts
     *                                  are too long, or there are too many requests
     */
    public static MaintenanceState submit(MaintenanceState state, MaintenanceRequest request, long now)
            throws RequestRejectedException {
        RequestStatus known = state.requests().get(request.id());
        if (known != null) {
            if (known.request().equals(request)) {
                return state;
            }
            throw new RequestRejectedException("request id \"" + request.id()
                    + "\" is in use by a different request, for machine \"" + known.request().machine()
                    + "\"; choose another id");
        }
        if (textLength(request) > MAX_TEXT_CHARS) {
            throw new RequestRejectedException("id, machine, reason and who of the request have " + textLength(request)
                    + " characters together; at most " + MAX_TEXT_CHARS + " are allowed");
        }
        RequestStatus open = state.openRequest(request.machine());
        if (open != null) {
            throw new RequestRejectedException("machine \"" + request.machine() + "\" already has request \""
                    + open.request().id() + "\", which is " + open.stage().word() + "; withdraw it first");
        }
        NavigableMap<String, RequestStatus> next = new TreeMap<>(state.requests());
        if (next.size() >= MAX_REQUESTS) {
            next.remove(oldestEndedId(next));
        }
        next.put(request.id(), RequestStatus.submitted(request, now));
        return new MaintenanceState(next, state.order().stream().filter(next::containsKey).toList(), state.held());
    }

    private static int textLength(MaintenanceRequest request) {
        return request.id().length() + request.machine().length() + request.reason().length()
                + request.requester().length();
    }

    /** Returns the id of the request to remove in favour of a new one; the id becomes available again. */
    private static String oldestEndedId(NavigableMap<String, RequestStatus> requests) throws RequestRejectedException {
        return requests.values().stream().filter(status -> status.stage().isFinal() && !status.drainedByOrder())
                .min(Comparator.comparingLong(RequestStatus::since)).map(status -> status.request().id())
                .orElseThrow(() -> new RequestRejectedException(
                        "all " + MAX_REQUESTS + " requests are still open; submit again when some have ended, "
                                + "or withdraw some"));
    }

    /**
     * Withdraws a request. A machine that drains for it serves again.
     *
     * @throws RequestRejectedException if there is no such request, or its machine is out of service; the request then
     *                                  ends when the machine is back
     */
    public static MaintenanceState withdraw(MaintenanceState state, String id, long now)
            throws RequestRejectedException {
        RequestStatus status = existing(state, id);
        if (status.stage().isFinal()) {
            return state;
        }
        if (status.stage().isOut() && status.stage() != MaintenanceStage.DRAINING) {
            throw new RequestRejectedException("machine \"" + status.request().machine() + "\" is "
                    + status.stage().word() + "; its request ends when the machine is back and past slow start");
        }
        return withStatus(state, status.withStage(MaintenanceStage.GIVEN_UP, now,
                List.of(MaintenanceConstraint.of(MaintenanceRule.WITHDRAWN))));
    }

    /**
     * Holds one request, or resumes it.
     *
     * @throws RequestRejectedException if there is no such request
     */
    public static MaintenanceState hold(MaintenanceState state, String id, boolean hold)
            throws RequestRejectedException {
        return withStatus(state, existing(state, id).withHeldByStaff(hold));
    }

    /**
     * Holds the complete order, or resumes it. While it is held, no request begins, draining machines serve again, and
     * machines that are out of service may return.
     */
    public static MaintenanceState hold(MaintenanceState state, boolean hold) {
        return new MaintenanceState(state.requests(), state.order(), hold);
    }

    /**
     * Records that the work on a machine is done, for work that needs no restart.
     *
     * @throws RequestRejectedException if there is no such request, or its machine is not out of service
     */
    public static MaintenanceState markReturned(MaintenanceState state, String id) throws RequestRejectedException {
        RequestStatus status = existing(state, id);
        MaintenanceStage stage = status.stage();
        if (stage != MaintenanceStage.OUT && stage != MaintenanceStage.OVERDUE
                && stage != MaintenanceStage.RETURNING) {
            throw new RequestRejectedException("machine \"" + status.request().machine()
                    + "\" is not out of service: its request is " + stage.word());
        }
        return withStatus(state, status.withReturned(true));
    }

    private static RequestStatus existing(MaintenanceState state, String id) throws RequestRejectedException {
        RequestStatus status = state.requests().get(id);
        if (status == null) {
            throw new RequestRejectedException("request \"" + id + "\" does not exist");
        }
        return status;
    }

    private static MaintenanceState withStatus(MaintenanceState state, RequestStatus status) {
        NavigableMap<String, RequestStatus> next = new TreeMap<>(state.requests());
        next.put(status.request().id(), status);
        return state.withRequests(next);
    }
}

package wallmoor.ogc;

import wallmoor.core.SendPermission;

/** Thrown when the gatherer no longer permits a request of an attempt, which was not sent. */
final class SendNotPermittedException extends Exception {
    private static final long serialVersionUID = 1L;
    private final SendPermission permission;

    SendNotPermittedException(SendPermission permission) {
        super("request not sent, the gatherer no longer permits it: " + permission);
        this.permission = permission;
    }

    /** Returns whether the server no longer takes requests at this address, while the query goes on. */
    boolean isServerLeaving() {
        return permission == SendPermission.NOT_SERVING || permission == SendPermission.ADDRESS_CHANGED;
    }

    /** Returns whether the attempt's time is over. */
    boolean isDeadlineExceeded() {
        return permission == SendPermission.DEADLINE_EXCEEDED;
    }
}

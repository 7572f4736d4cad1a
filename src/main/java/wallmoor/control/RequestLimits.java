package wallmoor.control;

/**
 * The limits of a request to a control port.
 *
 * @param maxBytes      the maximum length of a request with its line end
 * @param timeoutMillis the maximum time from the connection to the line end
 */
public record RequestLimits(int maxBytes, int timeoutMillis) {}

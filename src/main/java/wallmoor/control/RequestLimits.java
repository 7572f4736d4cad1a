package wallmoor.control;

/**
 * What a requester may take of a control port.
 *
 * @param maxBytes      length of a request with its line end
 * @param timeoutMillis from the connection to the line end
 */
public record RequestLimits(int maxBytes, int timeoutMillis) {}

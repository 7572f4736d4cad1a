package wallmoor.endpoints;

import wallmoor.core.WorkerEndpoint;

/**
 * What becomes of a node, and why.
 *
 * @param cause in words for the operators, as "drained by list at revision 43"
 */
public record EndpointChange(WorkerEndpoint endpoint, String cause) {}

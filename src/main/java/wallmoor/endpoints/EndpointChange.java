package wallmoor.endpoints;

import wallmoor.core.WorkerEndpoint;

/**
 * A change of the registry: the new state of an endpoint, and why.
 *
 * @param endpoint the endpoint as it is from now on
 * @param cause    in words for the operators, such as "drained by list at revision 43"
 */
public record EndpointChange(WorkerEndpoint endpoint, String cause) {}

package wallmoor.endpoints;

import wallmoor.core.WorkerEndpoint;

/**
 * A change of the registry: the new state of an endpoint and its cause.
 *
 * @param endpoint the endpoint in its new state
 * @param cause    the cause as text for operators, such as "drained by list at revision 43"
 */
public record EndpointChange(WorkerEndpoint endpoint, String cause) {}

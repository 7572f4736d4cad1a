package wallmoor.endpoints;

import wallmoor.core.WorkerEndpoint;

/**
 * An endpoint of the registry as shown to operators.
 *
 * @param endpoint the endpoint as last published, or in the state GONE if it is not published
 * @param cause    the cause of this state, as text for operators
 */
public record EndpointStatus(WorkerEndpoint endpoint, String cause) {}

package wallmoor.endpoints;

import wallmoor.core.WorkerEndpoint;

/**
 * An endpoint of the registry as operators see it.
 *
 * @param endpoint the endpoint as last published, or in the state GONE where it was not published
 * @param cause    in words, why it is in this state
 */
public record EndpointStatus(WorkerEndpoint endpoint, String cause) {}

/**
 * The blocking facade of the routing policy: {@code Gatherer} for traffic, {@code GathererControl} for endpoints, bans
 * and settings, and the types that fronts and transports exchange with them. One lock guards the policy and all tables
 * here; it is never held during I/O.
 */
package wallmoor.core;

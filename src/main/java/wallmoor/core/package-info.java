/**
 * The blocking facade of the routing policy: {@code Gatherer} for traffic, {@code GathererControl} for endpoints, bans
 * and settings, and the types in which fronts and transports speak with them. One lock guards the policy and all tables
 * here; it is never held during I/O.
 */
package wallmoor.core;

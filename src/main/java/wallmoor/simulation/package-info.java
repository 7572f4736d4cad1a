/**
 * A network and clocks on one thread, to run the deciders of a group under faults and judge what they did: the same
 * seed gives the same run. Never used by {@code serve}.
 */
package wallmoor.simulation;

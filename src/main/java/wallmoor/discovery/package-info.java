/**
 * Discovery's endpoint list as a source: polls for the list, watches it, and reconnects where the watch is broken.
 * {@code WatchStateMachine} and the classes it uses decide; {@code DiscoveryWatch} and {@code DiscoveryCall} do the
 * I/O.
 */
package wallmoor.discovery;

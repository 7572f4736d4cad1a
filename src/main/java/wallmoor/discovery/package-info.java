/**
 * Discovery's endpoint list as a source of endpoints: requests the list, watches it, and reconnects if the watch
 * breaks. {@code WatchStateMachine} and the classes that it uses have the state and the timing; {@code DiscoveryWatch}
 * and {@code DiscoveryCall} do the I/O.
 */
package wallmoor.discovery;

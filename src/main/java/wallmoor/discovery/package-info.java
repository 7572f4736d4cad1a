/**
 * The node list's watch: asks for the list, reads what is pushed, and asks anew where the watch is broken.
 */
package wallmoor.discovery;

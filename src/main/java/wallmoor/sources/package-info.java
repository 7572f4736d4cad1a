/**
 * What the sources of nodes have in common, and what carries their news to the roster and its changes to a gatherer.
 */
package wallmoor.sources;

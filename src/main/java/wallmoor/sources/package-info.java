/**
 * What sources of worker endpoints have in common, and what carries their watch events to the registry and the
 * registry's changes to a gatherer.
 */
package wallmoor.sources;

/**
 * The interface of endpoint sources, and the classes that apply their watch events to the registry and publish the
 * registry's changes to a gatherer.
 */
package wallmoor.sources;

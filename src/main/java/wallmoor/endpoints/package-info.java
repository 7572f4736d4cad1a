/**
 * The registry of worker endpoints, which merges the claims of several ranked sources. It uses no I/O, clock or
 * threads. docs/membership.md has the rules for sources that disagree.
 */
package wallmoor.endpoints;

/**
 * The form of parts and values in JSON, the same for every front that speaks it.
 */
package wallmoor.queries;

/**
 * The JSON format of the parts of a query and of the values in its answer, shared by all fronts that use JSON.
 */
package wallmoor.queries;

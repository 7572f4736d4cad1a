/**
 * A small JSON reader without dependencies.
 */
package wallmoor.json;

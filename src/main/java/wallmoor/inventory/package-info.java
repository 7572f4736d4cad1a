/**
 * Inventory files in YAML and CSV as a source of nodes: read again when they change, taken whole or not at all.
 */
package wallmoor.inventory;

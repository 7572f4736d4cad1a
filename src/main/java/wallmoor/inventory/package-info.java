/**
 * Inventory files in YAML and CSV as a source of endpoints: read again when they change, applied completely or not at
 * all.
 */
package wallmoor.inventory;

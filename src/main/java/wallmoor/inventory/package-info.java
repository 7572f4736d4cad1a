/**
 * Inventory files in YAML and CSV as a source of endpoints. A changed file is read again, and is applied completely or
 * not at all.
 */
package wallmoor.inventory;

/**
 * Reads and checks all settings in one place. A fault names its key; a file with a fault is not applied at all.
 */
package wallmoor.config;

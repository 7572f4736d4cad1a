/**
 * Creates, starts, reloads and shuts down the components that a configuration enables.
 */
package wallmoor.service;

/**
 * A client of the edge over HTTP and CoAP, as a device has it: it retries under the same id, and resumes interrupted
 * answers. Used by the command {@code device} and by tests, never by {@code serve}.
 */
package wallmoor.client;

/**
 * A device's side of the edge, over HTTP and CoAP: retries under the same id, and resumption of an answer that broke
 * off. Used by the command {@code device} and by tests, never by {@code serve}.
 */
package wallmoor.client;

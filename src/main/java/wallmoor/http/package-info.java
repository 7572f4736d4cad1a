/**
 * HTTP/1.1: reading, writing, and the clients' connections from accept to close.
 */
package wallmoor.http;

/**
 * HTTP/1.1: reading and writing messages, and serving client connections from accept to close.
 */
package wallmoor.http;

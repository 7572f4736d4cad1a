/**
 * The edge over HTTP/1.1. Reads and writes messages; the rules are elsewhere.
 */
package wallmoor.edge.http;

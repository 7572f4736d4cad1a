/**
 * The edge over HTTP/1.1. It reads and writes messages and holds no rule.
 */
package wallmoor.edge.http;

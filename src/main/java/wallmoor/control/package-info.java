/**
 * Control ports: loopback addresses through which the command line queries a running gatherer. A request is one line,
 * the response is JSON objects, one per line, and the connection is then closed. This package holds the client and the
 * server; the commands are defined by the packages that handle them.
 */
package wallmoor.control;

/**
 * Control ports: the addresses of the loopback interface where the command line asks a running gatherer. One line asks,
 * JSON objects answer, one a line, and the connection ends. Both ends stand here; what is asked does not.
 */
package wallmoor.control;

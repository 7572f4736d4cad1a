/**
 * SIGHUP, compiled by itself, as the compiler warns of the API whatever it is told.
 */
package wallmoor.signals;

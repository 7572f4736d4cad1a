/**
 * The handler of SIGHUP. It is compiled in a step of its own, because the compiler's warning of the signal API can't be
 * suppressed.
 */
package wallmoor.signals;

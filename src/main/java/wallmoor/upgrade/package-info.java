/**
 * Coordinates the processes of one gatherer during an upgrade: how many are alive, and what each may use of the limits
 * that they share. {@code LiveProcesses} and {@code SharedQuota} decide; {@code HeartbeatFiles} does the I/O.
 */
package wallmoor.upgrade;

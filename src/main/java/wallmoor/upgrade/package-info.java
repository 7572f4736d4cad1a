/**
 * How many processes are one gatherer just now, and what each of them may use of what they share. {@code LiveProcesses}
 * and {@code SharedQuota} decide; {@code HeartbeatFiles} carries.
 */
package wallmoor.upgrade;

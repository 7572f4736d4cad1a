/**
 * How many processes are this gatherer just now: {@code Heartbeats} decides, with no I/O and no clock, {@code
 * HeartbeatFiles} carries the signs of life in the directory that they share.
 */
package wallmoor.upgrade;

/**
 * The address that operators call, and the file that stores their bans. The package decides nothing itself: metrics,
 * the ban register and the readiness check are passed to it.
 */
package wallmoor.operator;

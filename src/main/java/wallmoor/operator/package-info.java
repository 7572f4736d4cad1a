/**
 * The address that operators call, and the file that stores their bans. It holds no rule of its own: metrics, bans and
 * what being ready means are given to it.
 */
package wallmoor.operator;

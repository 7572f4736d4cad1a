/**
 * The way into the program. Its parts, and which may use which, are described in README.md.
 */
package wallmoor;

/**
 * A small JSON reader on the JDK alone.
 */
package wallmoor.json;

/**
 * The log: Logback set up by code, its form and levels, and the limit on repeated lines.
 */
package wallmoor.log;

/**
 * Logging: the configuration of Logback in code, the format and the levels, and the limit on repeated lines.
 */
package wallmoor.log;

/**
 * Every setting, read and checked in one place. A fault names its key; nothing is applied of a file that has one.
 */
package wallmoor.config;

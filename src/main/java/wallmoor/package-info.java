/**
 * The program's entry point. README.md describes the packages and their permitted dependencies.
 */
package wallmoor;

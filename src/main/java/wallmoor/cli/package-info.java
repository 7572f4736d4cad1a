/**
 * The command line: a class for each command, which reads its arguments, calls the packages below and prints. No rule
 * of the program stands here.
 */
package wallmoor.cli;

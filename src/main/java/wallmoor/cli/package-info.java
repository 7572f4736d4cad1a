/**
 * The command line: a class for each command, which parses its arguments, calls other packages and prints the result.
 * The package contains no logic of the program beyond that.
 */
package wallmoor.cli;

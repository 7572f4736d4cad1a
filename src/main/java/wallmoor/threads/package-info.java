/** Creates the threads of the process, and ends the process if it can't go on without one of them. */
package wallmoor.threads;

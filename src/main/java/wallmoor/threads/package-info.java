/** Creates the threads of the process, and handles their failures. */
package wallmoor.threads;

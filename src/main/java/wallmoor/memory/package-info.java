/** Decides which requests may use memory of the heap now, and which wait or are rejected. No I/O and no clock. */
package wallmoor.memory;

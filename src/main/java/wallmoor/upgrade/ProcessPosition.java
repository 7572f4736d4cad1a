package wallmoor.upgrade;

/**
 * The position of this process among the processes of its gatherer.
 *
 * @param count the number of processes, including this one
 * @param index the index of this process in the order of names, from 0
 */
public record ProcessPosition(int count, int index) {}

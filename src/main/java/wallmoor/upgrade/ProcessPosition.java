package wallmoor.upgrade;

/**
 * How many processes are this gatherer, and which of them this one is.
 *
 * @param count how many there are, this one included
 * @param index from 0, in the order of their names
 */
public record ProcessPosition(int count, int index) {}

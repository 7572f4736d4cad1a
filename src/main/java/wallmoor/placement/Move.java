package wallmoor.placement;

/**
 * A copy of a block goes from one node to another. While it is copied it counts on both.
 *
 * @param sizeMb   megabytes
 * @param wave from 1; all moves of a wave may run at once and end in any order, once the wave before has ended
 */
public record Move(String block, String from, String to, long sizeMb, int wave) {}

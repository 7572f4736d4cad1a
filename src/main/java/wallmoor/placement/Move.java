package wallmoor.placement;

/**
 * The migration of one replica of a block. While the replica is copied, it takes space on both nodes.
 *
 * @param sizeMb megabytes that are copied
 * @param wave   number of its wave, from 1; all moves of a wave may run concurrently and end in any order, once the
 *               wave before has ended
 */
public record Move(String block, String from, String to, long sizeMb, int wave) {}

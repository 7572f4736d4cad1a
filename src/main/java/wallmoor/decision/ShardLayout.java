package wallmoor.decision;

/**
 * The assignment of shards to cells: shard s is held by the workers of the cells (s + j) mod {@code cells}, for j from
 * 0 to {@code cellsPerShard} - 1.
 *
 * @param shards        number of shards
 * @param cells         number of cells
 * @param cellsPerShard number of cells that hold each shard
 */
public record ShardLayout(int shards, int cells, int cellsPerShard) {}

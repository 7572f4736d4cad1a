package wallmoor.moves;

import java.util.List;

/** What is asked of a node about one block. Each is safe to repeat, and safe to come late: its number tells. */
public sealed interface Ask {
    /** What it holds of the block, and what room it has. */
    record Look() implements Ask {}

    /**
     * To keep room for a copy.
     *
     * @param bytes  of the whole block
     * @param chunk  bytes of a chunk
     * @param mb     room to keep
     * @param mostMb what the node may hold in all, with what is not ours: its disk less its headroom
     */
    record Prepare(long bytes, int chunk, long mb, long mostMb) implements Ask {}

    /**
     * To fetch one chunk from another node, and to write it.
     *
     * @param mostMb as in {@link Prepare}: something else may have filled the disk meanwhile
     */
    record Pull(String from, int index, long mostMb) implements Ask {}

    /** The sums of a copy's chunks, in order. */
    record Sums(int chunk) implements Ask {}

    /**
     * To compare its own chunks with these sums: the same, and it takes no chunk any more; else those that differ are
     * missing.
     */
    record Seal(List<String> sums) implements Ask {
        public Seal {
            sums = List.copyOf(sums);
        }
    }

    /** To refuse what runs once from now on, with proof that it never ran; answered with the sums of its chunks. */
    record Fence(int chunk) implements Ask {}

    /** To run again what runs once. */
    record Unfence() implements Ask {}

    /** To run what runs once, as the new owner. */
    record Admit() implements Ask {}

    /** To throw away a copy that was not handed over. */
    record Discard() implements Ask {}

    /** To delete a fenced copy that another has taken over. */
    record Drop() implements Ask {}

    /** All that the node holds; of no block. */
    record Tell() implements Ask {}
}

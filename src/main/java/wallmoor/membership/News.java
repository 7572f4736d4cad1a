package wallmoor.membership;

import java.util.List;

/** What a source has to tell, at a time. {@code source} is its name in the roster's policy. */
public sealed interface News {
    /** Who tells. */
    String source();

    /**
     * All nodes that the source knows.
     *
     * @param version  what the source calls this state of things, for the log ("revision 43")
     * @param explicit the source itself says that what is not here is gone, rather than that it found no more
     */
    record Whole(String source, String version, List<Entry> entries, boolean explicit) implements News {}

    /** The nodes that have changed; what is not here is as it was. */
    record Changes(String source, String version, List<Entry> entries) implements News {}

    /** The source still says what it said. */
    record Same(String source) implements News {}

    /** The source can't be heard, or makes no sense: it says nothing. */
    record Failed(String source, String why) implements News {}
}

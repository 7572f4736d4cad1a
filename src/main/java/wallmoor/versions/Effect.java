package wallmoor.versions;

/** What an entry came to. */
public sealed interface Effect {
    /** A version has its number and waits for the voters' verdicts. */
    record Pending(Document document) implements Effect {}

    /** The voters can read it: what it takes away holds wherever it is known. {@code key} is the proposal's. */
    record Accepted(String key, Document document) implements Effect {}

    /** A proposal has come to nothing. {@code key} is the proposal's. */
    record Refused(String key, Refusal why) implements Effect {}

    /** The version acts: what it adds holds as well. */
    record Acts(String name, long number) implements Effect {}

    /** Another leader, or another process of the same. */
    record Led(String member, long life, long epoch) implements Effect {}
}

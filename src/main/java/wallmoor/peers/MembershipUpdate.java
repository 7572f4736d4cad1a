package wallmoor.peers;

/** What messages carry of members beside their own purpose. */
public sealed interface MembershipUpdate {
    /** Whom it is about. */
    String name();

    /** The life of it that is meant: a member that refutes a doubt, or comes back, has a higher one. */
    long incarnation();

    /** Bytes that it takes on its way, about: numbers here are some ten bytes each. */
    int encodedSize();

    /**
     * A member is there, or has left with notice.
     *
     * @param address where it can be reached
     * @param bootId    tells two processes of one name apart
     */
    record Announcement(String name, String address, long bootId, long incarnation,
            boolean left) implements MembershipUpdate {
        @Override
        public int encodedSize() {
            return 24 + name.length() + address.length();
        }
    }

    /**
     * An observer does not hear a member, or hears it again.
     *
     * @param observer  the observer
     * @param sequence the observer's own count: the latest holds
     * @param isActive  whether it doubts
     */
    record Suspicion(String name, long incarnation, String observer, long sequence,
            boolean isActive) implements MembershipUpdate {
        @Override
        public int encodedSize() {
            return 14 + observer.length(); // those of one member follow each other, and name it once
        }
    }
}

package wallmoor.peers;

/** An update of what is known of a member, which messages carry beside their own purpose (SWIM, 4.1). */
public sealed interface MembershipUpdate {
    /** The member that it is about. */
    String name();

    /**
     * The incarnation that is meant: a member that refutes a suspicion, or comes back, begins a newer one (SWIM, 4.2).
     */
    long incarnation();

    /** Bytes that it takes in a message, about: numbers here are some ten bytes each. */
    int encodedSize();

    /**
     * A member is there, or has left with notice. Only the member itself announces that, others repeat it.
     *
     * @param address where it can be reached
     * @param bootId  tells two processes of one name apart: the start on the wall clock, in microseconds
     * @param left    whether it has left
     */
    record Announcement(String name, String address, long bootId, long incarnation, boolean left)
            implements
                MembershipUpdate {
        private static final int FIXED_BYTES = 24;

        @Override
        public int encodedSize() {
            return FIXED_BYTES + name.length() + address.length();
        }
    }

    /**
     * An observer does not hear a member, or hears it again (Rapid: an alert).
     *
     * @param observer whose report it is
     * @param sequence the observer's own count: the latest report holds
     * @param isActive whether it suspects the member; false where that is taken back
     */
    record Suspicion(String name, long incarnation, String observer, long sequence, boolean isActive)
            implements
                MembershipUpdate {
        private static final int FIXED_BYTES = 14;

        @Override
        public int encodedSize() {
            return FIXED_BYTES + observer.length(); // those of one member follow each other, and name it once
        }
    }
}

package wallmoor.peers;

/** An update about one member, which is piggybacked on messages of any kind (SWIM, 4.1). */
public sealed interface MembershipUpdate {
    /** Returns the name of the member that the update is about. */
    String name();

    /**
     * Returns the incarnation of the member that the update is about. A member begins a newer incarnation when it
     * refutes a suspicion or rejoins (SWIM, 4.2).
     */
    long incarnation();

    /** Returns the approximate size in a message, in bytes. The large numbers take about ten bytes each. */
    int encodedSize();

    /**
     * A member's statement that it is present or has left. Only the member itself creates announcements; others forward
     * them.
     *
     * @param address host and port that the member receives messages at
     * @param bootId  identifies the process among those of the same name: its start on the wall clock, in microseconds
     * @param hasLeft whether the member has left the group
     */
    record Announcement(String name, String address, long bootId, long incarnation, boolean hasLeft)
            implements
                MembershipUpdate {
        private static final int FIXED_BYTES = 24;

        @Override
        public int encodedSize() {
            return FIXED_BYTES + name.length() + address.length();
        }
    }

    /**
     * An observer's report that it no longer receives answers from a member, or receives them again (Rapid: an alert).
     *
     * @param observer name of the reporting member
     * @param sequence number that grows with each report of the observer; the report with the highest number is valid
     * @param isActive true if the observer suspects the member, false if it withdraws its suspicion
     */
    record Suspicion(String name, long incarnation, String observer, long sequence, boolean isActive)
            implements
                MembershipUpdate {
        private static final int FIXED_BYTES = 14;

        @Override
        public int encodedSize() {
            // The member's name is not counted: consecutive suspicions of one member are encoded with a single name.
            return FIXED_BYTES + observer.length();
        }
    }
}

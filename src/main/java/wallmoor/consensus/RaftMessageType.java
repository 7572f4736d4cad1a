package wallmoor.consensus;

/** The first field of an encoded Raft message. It is sent between versions, so a number is never reused. */
final class RaftMessageType {
    static final int APPEND_ENTRIES_REQUEST = 1;
    static final int APPEND_ENTRIES_SUCCESS = 2;
    static final int APPEND_ENTRIES_FAILURE = 3;
    static final int INSTALL_SNAPSHOT_REQUEST = 4;
    static final int INSTALL_SNAPSHOT_RESPONSE = 5;
    static final int PRE_VOTE_REQUEST = 6;
    static final int PRE_VOTE_RESPONSE = 7;
    static final int VOTE_REQUEST = 8;
    static final int VOTE_RESPONSE = 9;
    static final int TRIGGER_LEADER_ELECTION = 10;

    private RaftMessageType() {}
}

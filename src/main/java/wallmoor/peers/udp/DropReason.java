package wallmoor.peers.udp;

/** The reason why a message was dropped. Each has a counter that is named by the constant in lower case. */
enum DropReason {
    /** The message can't be decoded. */
    MALFORMED,
    /** The message has another version of the format. */
    VERSION,
    /** The message is from another installation. */
    INSTALLATION,
    /** The message is longer than its transport permits. */
    TOO_LONG,
    /** The message could not be sent. */
    UNSENT
}

package wallmoor.peers.udp;

/** Why a message was dropped: a counter each, by the name in lower case. */
enum DropReason {
    /** It does not have the form of a message. */
    MALFORMED,
    /** It is of another version of the form. */
    VERSION,
    /** It is of another group. */
    INSTALLATION,
    /** It has more bytes than may come that way. */
    TOO_LONG,
    /** It could not be sent. */
    UNSENT
}

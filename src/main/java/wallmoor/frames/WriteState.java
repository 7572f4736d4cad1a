package wallmoor.frames;

/** How far the call of an attempt has been written to its connection. */
enum WriteState {
    /** It waits for the writer: nothing of it has been written. */
    QUEUED,
    /** The writer has begun with it: its last byte has not been written yet. */
    WRITING,
    /** It has been written completely: it may run. */
    WRITTEN
}

package wallmoor.frames;

/** The progress of writing the call of an attempt to its connection. */
enum WriteState {
    /** Queued for the writer: nothing of the call has been written. */
    QUEUED,
    /** The writer has started, and has not written the last byte yet. */
    WRITING,
    /** Written completely: the worker may execute the attempt. */
    WRITTEN
}

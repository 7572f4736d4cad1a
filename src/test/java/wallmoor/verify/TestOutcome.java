package wallmoor.verify;

/** The outcome of a test. Where several have the same name, the last of these constants counts. */
enum TestOutcome {
    /** Not run: ignored, or an assumption failed. */
    SKIPPED,
    /** Passed without a failed attempt. */
    PASSED,
    /** At least one attempt failed. */
    FAILED
}

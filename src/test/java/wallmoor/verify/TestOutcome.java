package wallmoor.verify;

/** How a test ended; in rising order of what counts where several have the same name. */
enum TestOutcome {
    /** Not run: ignored, or an assumption did not hold. */
    SKIPPED,
    /** Passed without a failed attempt. */
    PASSED,
    /** Failed, be it once of several attempts. */
    FAILED
}

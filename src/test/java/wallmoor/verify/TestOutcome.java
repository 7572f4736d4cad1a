package wallmoor.verify;

/** How a test ended, its reruns included; in rising order of what counts where several have the same name. */
enum TestOutcome {
    /** Not run: ignored, or an assumption did not hold. */
    SKIPPED,
    /** Passed, at the first try or at a rerun. */
    PASSED,
    /** Failed at each try. */
    FAILED
}

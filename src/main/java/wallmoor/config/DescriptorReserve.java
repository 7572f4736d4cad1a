package wallmoor.config;

import java.io.File;

/** The file descriptors that the program needs besides connections: those open at its start, and some spare ones. */
final class DescriptorReserve {
    /** Lists the open descriptors on Linux; on other systems {@link #DEFAULT_OPEN} are assumed. */
    private static final File OPEN_DESCRIPTORS = new File("/proc/self/fd");
    private static final int DEFAULT_OPEN = 32;
    /** Descriptors for libraries loaded on first use, files that are reloaded, and socket selectors. */
    private static final int OPENED_LATER = 32;

    /** Counted once, before the first connection. */
    private static final int NEEDED = count();

    private DescriptorReserve() {}

    /** Returns how many descriptors are reserved for the program itself. */
    static int needed() {
        return NEEDED;
    }

    private static int count() {
        String[] open = OPEN_DESCRIPTORS.list();
        return (open == null ? DEFAULT_OPEN : open.length) + OPENED_LATER;
    }
}

package wallmoor.config;

import java.io.File;

/** Descriptors that the program needs for itself, whoever connects: those it has open as it starts, and some more. */
final class DescriptorReserve {
    /** Where the system tells of the open ones; elsewhere {@link #USUAL} are assumed. */
    private static final File OPEN = new File("/proc/self/fd");
    private static final int USUAL = 32;
    /** Libraries that are opened when they are first needed, files that are read again, and the watching of sockets. */
    private static final int LATER = 32;

    /** Counted once, before the first connection. */
    private static final int NEEDED = count();

    private DescriptorReserve() {}

    /** So many are kept for the program itself. */
    static int needed() {
        return NEEDED;
    }

    private static int count() {
        String[] open = OPEN.list();
        return (open == null ? USUAL : open.length) + LATER;
    }
}

package wallmoor.discovery;

import java.net.InetSocketAddress;

/** The address of a discovery, and the revision of its endpoint list that was last applied and a watch resumes from. */
final class DiscoveryTarget {
    private final InetSocketAddress address;
    /** Accessed by the watching thread only. */
    private long revision;

    DiscoveryTarget(InetSocketAddress address, long revision) {
        this.address = address;
        this.revision = revision;
    }

    InetSocketAddress address() {
        return address;
    }

    /** Returns the address as written in a request's Host header. */
    String authority() {
        return address.getHostString() + ":" + address.getPort();
    }

    long revision() {
        return revision;
    }

    /** Returns whether the full list must be requested before a watch, as no revision to resume from is known. */
    boolean needsFullList() {
        return revision < 0;
    }

    /** Returns the revision to resume a watch from. */
    long resumeRevision() {
        return Math.max(0, revision);
    }

    void setRevision(long appliedRevision) {
        revision = appliedRevision;
    }

    /** Has the next call request the full list, as a message that could not be read may have contained any change. */
    void clearRevision() {
        revision = EndpointListMessage.UNKNOWN_REVISION;
    }
}

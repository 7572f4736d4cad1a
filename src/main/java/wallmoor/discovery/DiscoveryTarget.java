package wallmoor.discovery;

import java.net.InetSocketAddress;

/** Where the endpoint list is, and the revision held of it, from which a watch resumes. */
final class DiscoveryTarget {
    private final InetSocketAddress address;
    /** The watching thread's own. */
    private long revision;

    DiscoveryTarget(InetSocketAddress address, long revision) {
        this.address = address;
        this.revision = revision;
    }

    InetSocketAddress address() {
        return address;
    }

    /** The address as it stands in a request's Host header. */
    String authority() {
        return address.getHostString() + ":" + address.getPort();
    }

    long revision() {
        return revision;
    }

    /** Whether a watch must begin with a poll of the full list, as no revision of this discovery's is held. */
    boolean needsFullList() {
        return revision < 0;
    }

    /** The revision to resume a watch from. */
    long resumeRevision() {
        return Math.max(0, revision);
    }

    void hold(long applied) {
        revision = applied;
    }

    /** What could not be read may have reported anything: the full list is polled next. */
    void dropRevision() {
        revision = EndpointListMessage.UNKNOWN_REVISION;
    }
}

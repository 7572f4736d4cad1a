package wallmoor.lab;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import wallmoor.standin.GroupRelay;
import wallmoor.standin.TcpRelay;

/**
 * The cuts of a script on both relays at once: what is cut for datagrams is cut for connections. Each cut is counted,
 * as faults may share a way.
 */
public final class Network {
    private record Way(int from, int to) {}

    private static final double LOSS = 0.2;
    private static final int LATE_MILLIS = 40;

    private final Map<Way, Integer> cuts = new ConcurrentHashMap<>();
    private final GroupRelay datagrams;
    private final TcpRelay links;
    private int poor;

    /** Either may be null. */
    public Network(GroupRelay datagrams, TcpRelay links) {
        this.datagrams = datagrams;
        this.links = links;
        if (datagrams != null) {
            datagrams.cut = (from, to) -> cuts.getOrDefault(new Way(from, to), 0) > 0;
        }
    }

    /** Cuts a way, or takes one cut back. */
    public void cut(int from, int to, boolean on) {
        int now = cuts.merge(new Way(from, to), on ? 1 : -1, Integer::sum);
        if (links != null) {
            links.fault(from, to, now > 0 ? TcpRelay.Fault.CUT : TcpRelay.Fault.NONE);
        }
    }

    /** Makes all datagrams late and a fifth of them lost, or takes that back once. Connections lose nothing by it. */
    public void degradeDatagrams(boolean on) {
        poor += on ? 1 : -1;
        if (datagrams != null) {
            datagrams.loss = poor > 0 ? LOSS : 0;
            datagrams.delayMillis = poor > 0 ? LATE_MILLIS : 0;
        }
    }
}

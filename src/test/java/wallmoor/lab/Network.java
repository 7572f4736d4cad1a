package wallmoor.lab;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import wallmoor.standin.GroupRelay;
import wallmoor.standin.TcpRelay;

/**
 * Applies the network faults of a script to the relays of datagrams and of connections alike. Cuts of a direction are
 * counted, because several faults may cut the same one.
 */
public final class Network {
    private record Direction(int from, int to) {}

    private static final double LOSS_SHARE = 0.2;
    private static final int MAX_DELAY_MILLIS = 40;

    private final Map<Direction, Integer> cuts = new ConcurrentHashMap<>();
    private final GroupRelay datagrams;
    private final TcpRelay links;
    private int degradations;

    /** Applies faults to these relays, either of which may be null. */
    public Network(GroupRelay datagrams, TcpRelay links) {
        this.datagrams = datagrams;
        this.links = links;
        if (datagrams != null) {
            datagrams.cut = (from, to) -> cuts.getOrDefault(new Direction(from, to), 0) > 0;
        }
    }

    /** Adds a cut of the direction between two processes, or removes one. */
    public void cut(int from, int to, boolean on) {
        int remaining = cuts.merge(new Direction(from, to), on ? 1 : -1, Integer::sum);
        if (links != null) {
            links.fault(from, to, remaining > 0 ? TcpRelay.Fault.CUT : TcpRelay.Fault.NONE);
        }
    }

    /** Delays all datagrams and drops a fifth of them, or undoes that once. Connections are not affected. */
    public void degradeDatagrams(boolean on) {
        degradations += on ? 1 : -1;
        if (datagrams != null) {
            datagrams.loss = degradations > 0 ? LOSS_SHARE : 0;
            datagrams.delayMillis = degradations > 0 ? MAX_DELAY_MILLIS : 0;
        }
    }
}

package wallmoor.endpoints;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What one source says, as far as it is believed. It decides how fast nodes may leave on the source's word alone; what
 * that means beside other sources is the {@link EndpointRegistry}'s to say. Work is by the size of the news, not of the
 * fleet,
 * except that whole news is compared with what is held.
 */
final class SourceView {
    /** An entry as it stands, and since when the source gives the node this address. */
    static final class EndpointClaim {
        SourceEndpoint entry;
        String cause;
        long since;
        /** The node is not known to have been started lately: it was there when the source was first heard. */
        boolean fromStart;
        /** Good replies in a row that lack it. */
        int missed;

        /** The gone say so with their old entry. */
        boolean gone() {
            return entry.isGone();
        }
    }

    private final RegistryPolicy.SourcePolicy source;
    private final RegistryPolicy policy;
    private final int rank;
    private final Map<String, EndpointClaim> held = new LinkedHashMap<>();
    /** Words of leaving, which outrank lower sources. Forgotten once no source names the node, after a while. */
    private final Map<String, EndpointClaim> tombs = new LinkedHashMap<>();
    private final Set<String> doubted = new LinkedHashSet<>();
    private boolean heard;
    private boolean lastEmpty;
    private long lastGood;
    private String failure;
    private boolean expired;
    private long stepAt = Long.MIN_VALUE / 2;
    private int allowed;

    SourceView(RegistryPolicy.SourcePolicy source, RegistryPolicy policy, int rank) {
        this.source = source;
        this.policy = policy;
        this.rank = rank;
    }

    RegistryPolicy.SourcePolicy source() {
        return source;
    }

    int rank() {
        return rank;
    }

    /** What the source says of a node, or null for nothing. */
    EndpointClaim word(String id) {
        EndpointClaim entry = held.get(id);
        return entry != null ? entry : tombs.get(id);
    }

    boolean names(String id) {
        return held.containsKey(id);
    }

    void forgetTomb(String id) {
        tombs.remove(id);
    }

    /** How many nodes it holds, dead or alive. */
    int size() {
        return held.size();
    }

    /** For the operators: since when it can't be heard and why, or that it can. */
    String standing(long now) {
        String age = (now - lastGood) / 1_000_000 + " s ago";
        return !heard ? failure == null ? "not heard yet" : "never heard: " + failure
                : failure != null ? "can't be heard (" + failure + "), last good news " + age : "heard " + age;
    }

    /** Nodes that good replies lack and that stay for now. */
    int doubted() {
        return doubted.size();
    }

    // ---- news ---------------------------------------------------------------------------------------------

    /** Takes whole news; returns the ids of nodes of which it now says something else. */
    Set<String> whole(long now, WatchEvent.EndpointSnapshot news) {
        boolean first = !heard;
        var touched = new LinkedHashSet<String>();
        var named = new HashSet<String>();
        good(now);
        for (SourceEndpoint e : news.endpoints()) {
            named.add(e.id());
            put(now, e, cause(e, news.version()), first, touched);
        }
        var missing = new ArrayList<String>();
        for (String id : held.keySet()) {
            if (!named.contains(id)) {
                missing.add(id);
            }
        }
        lastEmpty = news.endpoints().isEmpty();
        boolean believed = source.trusted() || news.authoritative();
        for (String id : missing) {
            if (believed) {
                leave(now, id, "not in " + source.name() + " at " + news.version(), touched);
            } else {
                held.get(id).missed++;
                doubted.add(id);
            }
        }
        release(now, true, touched);
        return touched;
    }

    /** Takes changes. */
    Set<String> changes(long now, WatchEvent.EndpointDelta news) {
        boolean first = !heard;
        var touched = new LinkedHashSet<String>();
        good(now);
        for (SourceEndpoint e : news.endpoints()) {
            put(now, e, cause(e, news.version()), first, touched);
        }
        return touched;
    }

    /** It still says what it said. */
    void same(long now) {
        if (heard) {
            good(now);
        }
    }

    /** It can't be heard: what it said stands, up to its age. */
    void failed(String why) {
        failure = why;
    }

    private void good(long now) {
        heard = true;
        lastGood = now;
        failure = null;
        expired = false;
    }

    private String cause(SourceEndpoint e, String version) {
        String what = switch (e.state()) {
            case SERVING -> "named by ";
            case DRAINING -> "drained by ";
            case GONE -> "removed by ";
        };
        return what + source.name() + " at " + version;
    }

    private void put(long now, SourceEndpoint e, String cause, boolean first, Set<String> touched) {
        if (e.isGone()) {
            bury(now, e, cause, touched);
            return;
        }
        EndpointClaim before = held.get(e.id());
        doubted.remove(e.id());
        if (before != null && before.entry.equals(e)) {
            before.missed = 0;
            return;
        }
        tombs.remove(e.id());
        var now0 = new EndpointClaim();
        now0.entry = e;
        now0.cause = cause;
        boolean sameClaim = before != null && before.entry.address().equals(e.address());
        now0.since = sameClaim ? before.since : now;
        now0.fromStart = before == null ? first : before.fromStart && sameClaim;
        held.put(e.id(), now0);
        touched.add(e.id());
    }

    private void bury(long now, SourceEndpoint e, String cause, Set<String> touched) {
        EndpointClaim before = held.remove(e.id());
        doubted.remove(e.id());
        if (before == null && tombs.containsKey(e.id())) {
            return;
        }
        var tomb = new EndpointClaim();
        SourceEndpoint last = before == null ? e : before.entry;
        tomb.entry = new SourceEndpoint(last.id(), last.address(), last.zone(), last.kind(), last.cell(),
                wallmoor.core.WorkerEndpoint.EndpointState.GONE, last.size(), last.upSince(), last.tier());
        tomb.cause = cause;
        tomb.since = now;
        tombs.put(e.id(), tomb);
        if (tombs.size() > source.maxEndpoints()) { // nodes come and go all day; the oldest word matters least
            String oldest = tombs.keySet().iterator().next();
            tombs.remove(oldest);
            touched.add(oldest);
        }
        touched.add(e.id());
    }

    private void leave(long now, String id, String cause, Set<String> touched) {
        bury(now, held.get(id).entry, cause, touched);
    }

    // ---- leaving ------------------------------------------------------------------------------------------

    /** What time alone brings about. */
    Set<String> tick(long now) {
        var touched = new LinkedHashSet<String>();
        if (source.maxStalenessMicros() > 0 && heard && now - lastGood >= source.maxStalenessMicros()) {
            expired = true;
        }
        release(now, false, touched);
        return touched;
    }

    /** When {@link #tick} has something to do, or {@link Long#MAX_VALUE}. */
    long due() {
        if (expired && !held.isEmpty()) {
            return stepAt + policy.removalWindowMicros();
        }
        long due = doubted.stream().anyMatch(this::confirmed) ? stepAt + policy.removalWindowMicros() : Long.MAX_VALUE;
        return source.maxStalenessMicros() > 0 && heard && !expired
                ? Math.min(due, lastGood + source.maxStalenessMicros()) : due;
    }

    private boolean confirmed(String id) {
        return held.get(id).missed >= policy.confirmations();
    }

    /**
     * Lets go of what may leave within this step. Right after a reply a few may leave unconfirmed, as nodes do every
     * day; an empty reply is a fault more often than it is true, and must be confirmed in whole.
     */
    private void release(long now, boolean byReply, Set<String> touched) {
        if (doubted.isEmpty() && !expired) {
            return;
        }
        if (now - stepAt >= policy.removalWindowMicros()) {
            stepAt = now;
            allowed = Math.max(1, (int) (source.removalShare() * held.size()));
        }
        for (Iterator<String> i = List.copyOf(doubted).iterator(); i.hasNext() && allowed > 0;) {
            String id = i.next();
            if (confirmed(id) || byReply && !lastEmpty) {
                allowed--;
                leave(now, id, "no longer in " + source.name() + " for " + held.get(id).missed + " replies", touched);
            }
        }
        for (Iterator<EndpointClaim> i = held.values().iterator(); expired && i.hasNext() && allowed > 0;) {
            EndpointClaim oldest = i.next();
            allowed--;
            i.remove(); // no word of leaving: it only no longer vouches for the node
            doubted.remove(oldest.entry.id());
            touched.add(oldest.entry.id());
        }
    }

    /** Why a node for which no source vouches any longer has lost this one's word. */
    String expiry() {
        return expired ? source.name() + " not heard for longer than " + source.maxStalenessMicros() / 1_000_000 + " s"
                : null;
    }
}

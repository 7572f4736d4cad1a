package wallmoor.agreement;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import wallmoor.versions.Document;
import wallmoor.versions.Effect;
import wallmoor.versions.Ledger;
import wallmoor.versions.Proposal;

/**
 * Who waits for what comes of a proposal, while this voter leads. A request that comes again is the same one by its
 * number; one that is lost with the leader is asked again of the next, whose ledger knows what came of it. Used on one
 * thread.
 */
final class Asked {
    private static final int MOST = 64;

    /** What was put into the log and did not come out of it for so long is put there again. */
    private static final long AGAIN = 2_000_000;

    private record Waiting(Packet.Request request, Consumer<Packet> answer, long appendedAt) {}

    private final LinkedHashMap<Long, Waiting> waiting = new LinkedHashMap<>();
    private final LinkedHashMap<Long, Packet.Reply> refused = new LinkedHashMap<>();

    /** What is known already of what is asked, or null. */
    Packet.Reply known(Packet.Request request, Ledger ledger) {
        Packet.Reply was = refused.get(request.id());
        if (was != null) {
            return was;
        }
        for (Document d : ledger.history(request.name())) {
            if (is(d, request.proposal())) {
                boolean acts = ledger.acting(d.name()) >= d.number();
                return acts ? reply(request, "acts", d.number(), "", ledger) : waiting.containsKey(request.id())
                        ? reply(request, "accepted", d.number(), "", ledger) : null;
            }
        }
        return null;
    }

    private static boolean is(Document d, Proposal p) {
        return d.parentNumber() == p.parentNumber() && d.parentHash().equals(p.parentHash())
                && d.author().equals(p.author())
                && d.body().equals(p.body()) && d.fallback().equals(p.fallback());
    }

    /** Answers once something comes of it; whether it is to be put into the log now. */
    boolean waits(long now, Packet.Request request, Consumer<Packet> answer) {
        Waiting before = waiting.get(request.id());
        boolean first = before == null || now - before.appendedAt() >= AGAIN;
        waiting.put(request.id(), new Waiting(request, answer, first ? now : before.appendedAt()));
        if (waiting.size() > MOST) {
            waiting.remove(waiting.keySet().iterator().next());
        }
        return first;
    }

    /** The ledger has taken an entry. */
    void onApplied(List<Effect> effects, Ledger ledger) {
        for (Effect e : effects) {
            for (Map.Entry<Long, Waiting> w : new ArrayList<>(waiting.entrySet())) {
                Packet.Request request = w.getValue().request();
                Packet.Reply reply = null;
                if (e instanceof Effect.Refused r && r.key().equals(request.proposal().key())) {
                    reply = reply(request, "refused", r.why().number(), r.why().sentence(), ledger);
                    refused.put(request.id(), reply);
                    if (refused.size() > MOST) {
                        refused.remove(refused.keySet().iterator().next());
                    }
                } else if (e instanceof Effect.Acts a && a.name().equals(request.name())) {
                    reply = known(request, ledger);
                } else if (e instanceof Effect.Led) {
                    waiting.remove(w.getKey()); // what was appended may be lost: who still wants it asks again
                }
                if (reply != null) {
                    waiting.remove(w.getKey());
                    w.getValue().answer().accept(reply);
                }
            }
        }
    }

    private static Packet.Reply reply(Packet.Request request, String state, long number, String why, Ledger ledger) {
        return new Packet.Reply(request.id(), state, number, why, ledger.acting(request.name()), List.of(), List.of());
    }
}

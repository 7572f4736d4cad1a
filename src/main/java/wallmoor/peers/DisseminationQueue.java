package wallmoor.peers;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * What is still to be told: what was sent least goes first, and each piece so many times at most. A piece is a member's
 * own news, or all doubts of it together, as they stand when they are sent: of a member that many observers doubt there
 * is one piece and not one for each. Taking one costs the same however many there are.
 */
final class DisseminationQueue {
    /** Whom it is about, and whether it is what others say of its being heard. */
    record Topic(String name, boolean suspicions) {}

    /** By how often they were sent; of each what waits longest first. */
    private final List<LinkedHashSet<Topic>> bySent = new ArrayList<>();
    private final Map<Topic, Integer> sent = new HashMap<>();

    /** Something new is to be told of it. */
    void enqueue(Topic piece) {
        Integer before = sent.put(piece, 0);
        if (before != null) {
            bySent.get(before).remove(piece);
        }
        at(0).add(piece);
    }

    /** Whether there is nothing left to tell. */
    boolean isEmpty() {
        return sent.isEmpty();
    }

    /**
     * Adds the next pieces to a message.
     *
     * @param room   for so many bytes by {@link MembershipUpdate#encodedSize}; at least one piece goes all the same
     * @param enough times that each piece is sent in all
     * @param known  what there is to say of a piece now
     */
    void appendTo(int room, int enough, Function<Topic, List<MembershipUpdate>> known, List<MembershipUpdate> to) {
        int left = room;
        var again = new LinkedHashMap<Topic, Integer>(); // for this message once each
        for (int times = 0; times < bySent.size() && left > 0; times++) {
            Iterator<Topic> waiting = bySent.get(times).iterator();
            while (left > 0 && waiting.hasNext()) {
                Topic next = waiting.next();
                List<MembershipUpdate> news = times < enough ? known.apply(next) : List.of();
                int size = news.stream().mapToInt(MembershipUpdate::encodedSize).sum();
                if (size > left && left < room) {
                    left = 0; // the next message begins with it
                    continue;
                }
                waiting.remove();
                if (news.isEmpty()) {
                    sent.remove(next);
                    continue;
                }
                left -= size;
                news.stream().filter(n -> !to.contains(n)).forEach(to::add);
                again.put(next, times + 1);
            }
        }
        again.forEach((piece, times) -> {
            at(times).add(piece);
            sent.put(piece, times);
        });
    }

    private LinkedHashSet<Topic> at(int times) {
        while (bySent.size() <= times) {
            bySent.add(new LinkedHashSet<>());
        }
        return bySent.get(times);
    }
}

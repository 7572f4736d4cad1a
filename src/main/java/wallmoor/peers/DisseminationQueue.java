package wallmoor.peers;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

/**
 * Topics that are still to be disseminated: what was sent least goes first, and each a limited number of times (SWIM,
 * 4.1). A topic is a member's own announcement, or all suspicions of it together, as they stand when they are sent: of
 * a member that many observers suspect there is one topic and not one for each. Taking one costs the same however many
 * there are.
 */
final class DisseminationQueue {
    /** The member that it is about, and whether it is what others report of hearing it. */
    record Topic(String name, boolean suspicions) {}

    /** By how often they were sent; of each what waits longest first. */
    private final List<Set<Topic>> byTransmissions = new ArrayList<>();
    private final Map<Topic, Integer> transmissions = new HashMap<>();

    /** Something new is to be told on this topic. */
    void enqueue(Topic topic) {
        Integer before = transmissions.put(topic, 0);
        if (before != null) {
            byTransmissions.get(before).remove(topic);
        }
        sentTimes(0).add(topic);
    }

    /** Whether there is nothing left to tell. */
    boolean isEmpty() {
        return transmissions.isEmpty();
    }

    /**
     * Adds the updates of the next topics to a message.
     *
     * @param room   for so many bytes by {@link MembershipUpdate#encodedSize}; one topic goes all the same
     * @param limit  times that each topic is sent in all
     * @param source what there is to say on a topic now
     */
    void appendTo(int room, int limit, Function<Topic, List<MembershipUpdate>> source, List<MembershipUpdate> message) {
        int left = room;
        var sent = new LinkedHashMap<Topic, Integer>(); // queued again at the end: for this message once each
        for (int times = 0; times < byTransmissions.size() && left > 0; times++) {
            Iterator<Topic> waiting = byTransmissions.get(times).iterator();
            while (left > 0 && waiting.hasNext()) {
                Topic topic = waiting.next();
                List<MembershipUpdate> updates = times < limit ? source.apply(topic) : List.of();
                int size = updates.stream().mapToInt(MembershipUpdate::encodedSize).sum();
                if (size > left && left < room) {
                    left = 0; // the next message begins with it
                    continue;
                }
                waiting.remove();
                if (updates.isEmpty()) {
                    transmissions.remove(topic);
                    continue;
                }
                left -= size;
                updates.stream().filter(u -> !message.contains(u)).forEach(message::add);
                sent.put(topic, times + 1);
            }
        }
        sent.forEach((topic, times) -> {
            sentTimes(times).add(topic);
            transmissions.put(topic, times);
        });
    }

    private Set<Topic> sentTimes(int times) {
        while (byTransmissions.size() <= times) {
            byTransmissions.add(new LinkedHashSet<>());
        }
        return byTransmissions.get(times);
    }
}

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
 * The topics that are still to be disseminated. Those that were sent least often go first, and each is sent a limited
 * number of times (SWIM, 4.1). A topic is either a member's own announcement or all suspicions of the member together,
 * with their content at the time of sending; so a member that many observers suspect has one topic and not one for each
 * observer. The cost of taking a topic does not depend on the number of topics.
 */
final class DisseminationQueue {
    /**
     * A topic about one member.
     *
     * @param name        the member's name
     * @param isSuspicion true for the suspicions of the member, false for its announcement
     */
    record Topic(String name, boolean isSuspicion) {}

    /** Topics by the number of times they were sent; in each set the one that waits longest is first. */
    private final List<Set<Topic>> byTransmissions = new ArrayList<>();
    private final Map<Topic, Integer> transmissions = new HashMap<>();

    /** Adds a topic with new content, to be sent the full number of times. */
    void enqueue(Topic topic) {
        Integer previous = transmissions.put(topic, 0);
        if (previous != null) {
            byTransmissions.get(previous).remove(topic);
        }
        topicsSent(0).add(topic);
    }

    /** Returns whether no topic is left to send. */
    boolean isEmpty() {
        return transmissions.isEmpty();
    }

    /**
     * Appends the updates of the next topics to a message.
     *
     * @param maxBytes         maximum size of the appended updates by {@link MembershipUpdate#encodedSize}; the first
     *                         topic may exceed it, unless it is not positive
     * @param maxTransmissions number of times that each topic is sent in total
     * @param updatesOf        returns the current updates of a topic; a topic without updates is dropped
     */
    void appendTo(int maxBytes, int maxTransmissions, Function<Topic, List<MembershipUpdate>> updatesOf,
            List<MembershipUpdate> message) {
        int remainingBytes = maxBytes;
        // Topics are queued again only at the end, so that each is in this message at most once.
        var sent = new LinkedHashMap<Topic, Integer>();
        for (int count = 0; count < byTransmissions.size() && remainingBytes > 0; count++) {
            Iterator<Topic> waiting = byTransmissions.get(count).iterator();
            while (remainingBytes > 0 && waiting.hasNext()) {
                Topic topic = waiting.next();
                List<MembershipUpdate> updates = count < maxTransmissions ? updatesOf.apply(topic) : List.of();
                int size = updates.stream().mapToInt(MembershipUpdate::encodedSize).sum();
                if (size > remainingBytes && remainingBytes < maxBytes) {
                    remainingBytes = 0; // the next message begins with this topic
                    continue;
                }
                waiting.remove();
                if (updates.isEmpty()) {
                    transmissions.remove(topic);
                    continue;
                }
                remainingBytes -= size;
                updates.stream().filter(u -> !message.contains(u)).forEach(message::add);
                sent.put(topic, count + 1);
            }
        }
        sent.forEach((topic, count) -> {
            topicsSent(count).add(topic);
            transmissions.put(topic, count);
        });
    }

    /** Returns the topics that were sent this number of times. */
    private Set<Topic> topicsSent(int count) {
        while (byTransmissions.size() <= count) {
            byTransmissions.add(new LinkedHashSet<>());
        }
        return byTransmissions.get(count);
    }
}

package wallmoor.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;
import wallmoor.peers.DisseminationQueue.Topic;
import wallmoor.peers.MembershipUpdate.Announcement;

/** The dissemination queue sends each topic the required number of times, and the least sent topics first. */
class DisseminationQueueTest {
    private static List<MembershipUpdate> announcement(Topic topic) {
        return List.of(new Announcement(topic.name(), "a", 1, 1, false));
    }

    @Example
    void sendsEachTopicTwiceAndLeastSentFirst() {
        var queue = new DisseminationQueue();
        for (int i = 0; i < 10; i++) {
            queue.enqueue(new Topic("m" + i, false));
        }
        var sent = new ArrayList<MembershipUpdate>();
        for (int i = 0; i < 10; i++) { // room for three at a time
            var message = new ArrayList<MembershipUpdate>();
            queue.appendTo(90, 2, DisseminationQueueTest::announcement, message);
            assertTrue(message.size() <= 3);
            sent.addAll(message);
            if (i == 1) {
                queue.enqueue(new Topic("m0", false));
                queue.appendTo(30, 2, DisseminationQueueTest::announcement, message);
                assertEquals("m6", message.get(message.size() - 1).name(), "the unsent topic that waits longest");
                sent.add(message.get(message.size() - 1));
            }
        }
        assertTrue(queue.isEmpty());
        assertEquals(3, sent.stream().filter(u -> u.name().equals("m0")).count());
        assertEquals(21, sent.size());
    }
}

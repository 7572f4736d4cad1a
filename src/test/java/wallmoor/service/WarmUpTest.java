package wallmoor.service;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.junit.jupiter.api.Test;
import wallmoor.config.LaunchConfig;

class WarmUpTest {
    private final LaunchConfig launch = LaunchConfig.read(Map.of("ROUTER_CONFIG", "example/config.json"));

    /** Each warm-up query delays a start on a fraction of a core, and all clients if all gatherers start at once. */
    @Test
    void startSendsThreeQueriesOfEachClass() {
        int classes = launch.classes().size();
        int answered = WarmUp.run(launch);
        assertEquals(3 * classes, answered);
        assertTrue(answered * 5 <= WarmUp.ARCHIVE_QUERIES, "the archive training runs at least five times as many");
    }

    @Test
    void archiveTrainingAnswersAllRequestedQueries() {
        assertEquals(WarmUp.ARCHIVE_QUERIES, WarmUp.run(launch, WarmUp.ARCHIVE_QUERIES));
    }
}

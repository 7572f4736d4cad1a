package wallmoor.service;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.junit.jupiter.api.Test;
import wallmoor.config.LaunchConfig;

class WarmUpTest {
    private final LaunchConfig launch = LaunchConfig.read(Map.of("ROUTER_CONFIG", "example/config.json"));

    /** A start on part of a core waits for each rehearsed query, and so do all clients where all start at once. */
    @Test
    void aStartRehearsesEachClassAFewTimesAndNoMore() {
        int classes = launch.classes().size();
        int answered = WarmUp.run(launch);
        assertEquals(3 * classes, answered);
        assertTrue(answered * 5 <= WarmUp.ARCHIVE_QUERIES, "most of it is left to the archive's run");
    }

    @Test
    void theArchiveIsMadeOfAllThatWasAskedFor() {
        assertEquals(WarmUp.ARCHIVE_QUERIES, WarmUp.run(launch, WarmUp.ARCHIVE_QUERIES));
    }
}

package wallmoor.config;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The section {@code rules} of the operators' file: the agreement of all gatherers on rules. It is disabled where the
 * section is absent, and on the platform.
 *
 * @param voters    the addresses of the 3 or 5 voters by name; the names must be the same on all gatherers
 * @param listen    the listening address of a voter; null for any other gatherer
 * @param term      the longest time, in milliseconds, for which two gatherers may act on contradicting versions;
 *                  must be the same on all gatherers
 * @param directory the directory of the state that survives a restart; may be null, but not for a voter
 * @param control   the loopback address where the command line queries and proposes; null where it is off
 */
public record RulesConfig(SortedMap<String, InetSocketAddress> voters, InetSocketAddress listen, long term,
        Path directory,
        InetSocketAddress control) {
    private static final int SMALL_VOTER_COUNT = 3;
    private static final int LARGE_VOTER_COUNT = 5;
    private static final long HOUR_MILLIS = 3_600_000;

    /** Stores an immutable copy of the voters. */
    public RulesConfig {
        voters = Collections.unmodifiableSortedMap(new TreeMap<>(voters));
    }

    /** Reads the section; returns null where it is disabled. Faults are recorded in the section. */
    static RulesConfig of(ConfigSection section, Path folder, LaunchConfig launch) {
        boolean isEnabled = section.flag("enabled", true);
        ConfigSection voterSection = section.section("voters");
        SortedMap<String, InetSocketAddress> voters = voters(voterSection);
        if (voterSection.keys().size() != SMALL_VOTER_COUNT && voterSection.keys().size() != LARGE_VOTER_COUNT) {
            section.addFault("voters",
                    "names " + voterSection.keys().size()
                            + " voters, but must name 3 or 5, each with its ADDRESS:PORT");
        }
        boolean isVoter = voterSection.keys().contains(launch.name());
        InetSocketAddress listen = section.address("listen");
        if (listen != null && !isVoter) {
            section.addFault("listen", "is set, but voters does not name this gatherer, " + launch.name());
        }
        Path directory = section.has("directory") ? folder.resolve(section.requiredText("directory")) : null;
        if (isVoter && directory == null) {
            section.addFault("directory", "is absent; a voter must not forget its votes in a restart");
        }
        InetSocketAddress control = section.address("control");
        if (control != null && !control.getAddress().isLoopbackAddress()) {
            section.addFault("control", "must be a loopback address, not " + section.text("control", ""));
        }
        long term = section.durationMillis("term", 5_000, 500, HOUR_MILLIS);
        section.reportUnknownKeys();
        return isEnabled
                ? new RulesConfig(voters, isVoter && listen == null ? voters.get(launch.name()) : listen, term,
                        directory, control)
                : null;
    }

    private static SortedMap<String, InetSocketAddress> voters(ConfigSection voterSection) {
        var voters = new TreeMap<String, InetSocketAddress>();
        for (String name : voterSection.keys()) {
            InetSocketAddress address = voterSection.address(name);
            if (!name.matches("[!-~]{1,64}")) {
                voterSection.addFault(name, "must be 1 to 64 printable ASCII characters without spaces");
            } else if (address != null) {
                voters.put(name, address);
            }
        }
        return voters;
    }
}

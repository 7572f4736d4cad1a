package wallmoor.config;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * What all gatherers agree on, section {@code rules} of the operators' file. Off where the section is absent, and on
 * the platform.
 *
 * @param voters    where each voter is reached, by its name; 3 or 5, the same names everywhere
 * @param listen    of a voter, where it listens; null for any other gatherer
 * @param term      milliseconds: no two act on contradicting versions for longer; the same everywhere
 * @param directory what is kept over a restart; null where nothing is, which a voter must not
 * @param control   on loopback, where the command line asks and proposes; null where it may not
 */
public record RulesConfig(SortedMap<String, InetSocketAddress> voters, InetSocketAddress listen, long term,
        Path directory,
        InetSocketAddress control) {
    private static final int SMALL_VOTER_COUNT = 3;
    private static final int LARGE_VOTER_COUNT = 5;
    private static final long HOUR_MILLIS = 3_600_000;

    /** Keeps a copy that nobody changes. */
    public RulesConfig {
        voters = Collections.unmodifiableSortedMap(new TreeMap<>(voters));
    }

    static RulesConfig of(ConfigSection section, Path folder, LaunchConfig launch) {
        boolean on = section.flag("enabled", true);
        ConfigSection voterSection = section.section("voters");
        SortedMap<String, InetSocketAddress> voters = voters(voterSection);
        if (voterSection.keys().size() != SMALL_VOTER_COUNT && voterSection.keys().size() != LARGE_VOTER_COUNT) {
            section.addFault("voters",
                    "names " + voterSection.keys().size() + " voters: it must be 3 or 5, each with its ADDRESS:PORT");
        }
        boolean isVoter = voterSection.keys().contains(launch.name());
        InetSocketAddress listen = section.address("listen");
        if (listen != null && !isVoter) {
            section.addFault("listen", "is set, but voters does not name this gatherer, " + launch.name());
        }
        Path directory = section.has("directory") ? folder.resolve(section.requiredText("directory")) : null;
        if (isVoter && directory == null) {
            section.addFault("directory", "is absent: a voter that forgets what it voted breaks the promise");
        }
        InetSocketAddress control = section.address("control");
        if (control != null && !control.getAddress().isLoopbackAddress()) {
            section.addFault("control", "is no address of this machine alone: " + section.text("control", ""));
        }
        long term = section.durationMillis("term", 5_000, 500, HOUR_MILLIS);
        section.reportUnknownKeys();
        return on
                ? new RulesConfig(voters, isVoter && listen == null ? voters.get(launch.name()) : listen, term,
                        directory, control)
                : null;
    }

    private static SortedMap<String, InetSocketAddress> voters(ConfigSection voterSection) {
        var voters = new TreeMap<String, InetSocketAddress>();
        for (String name : voterSection.keys()) {
            InetSocketAddress address = voterSection.address(name);
            if (!name.matches("[!-~]{1,64}")) {
                voterSection.addFault(name, "is no name of 1 to 64 letters");
            } else if (address != null) {
                voters.put(name, address);
            }
        }
        return voters;
    }
}

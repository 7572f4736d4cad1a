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
    private static final int FEW = 3;
    private static final int MANY = 5;
    private static final long HOUR_MILLIS = 3_600_000;

    /** Keeps a copy that nobody changes. */
    public RulesConfig {
        voters = Collections.unmodifiableSortedMap(new TreeMap<>(voters));
    }

    static RulesConfig of(ConfigSection at, Path folder, LaunchConfig launch) {
        boolean on = at.flag("enabled", true);
        ConfigSection named = at.section("voters");
        SortedMap<String, InetSocketAddress> voters = voters(named);
        if (named.keys().size() != FEW && named.keys().size() != MANY) {
            at.fault("voters",
                    "names " + named.keys().size() + " voters: it must be 3 or 5, each with its ADDRESS:PORT");
        }
        boolean votes = named.keys().contains(launch.name());
        InetSocketAddress listen = at.address("listen");
        if (listen != null && !votes) {
            at.fault("listen", "is set, but voters does not name this gatherer, " + launch.name());
        }
        Path directory = at.has("directory") ? folder.resolve(at.required("directory")) : null;
        if (votes && directory == null) {
            at.fault("directory", "is absent: a voter that forgets what it voted breaks the promise");
        }
        InetSocketAddress control = at.address("control");
        if (control != null && !control.getAddress().isLoopbackAddress()) {
            at.fault("control", "is no address of this machine alone: " + at.text("control", ""));
        }
        long term = at.time("term", 5_000, 500, HOUR_MILLIS);
        at.end();
        return on
                ? new RulesConfig(voters, votes && listen == null ? voters.get(launch.name()) : listen, term, directory,
                        control)
                : null;
    }

    private static SortedMap<String, InetSocketAddress> voters(ConfigSection named) {
        var voters = new TreeMap<String, InetSocketAddress>();
        for (String name : named.keys()) {
            InetSocketAddress address = named.address(name);
            if (!name.matches("[!-~]{1,64}")) {
                named.fault(name, "is no name of 1 to 64 letters");
            } else if (address != null) {
                voters.put(name, address);
            }
        }
        return voters;
    }
}

package wallmoor.cli;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import wallmoor.config.ConfigException;
import wallmoor.config.FleetConfig;
import wallmoor.config.LaunchConfig;
import wallmoor.json.Json;

/** Asks a gatherer on this machine what it holds of the group, over its control port. */
@Command(name = "fleet", mixinStandardHelpOptions = true,
        description = "Ask a running gatherer on this machine what it holds of the group of gatherers.",
        footer = {"It must have fleet.control set in its operators' file.",
            "Exits 0, 2 on a faulty configuration or an unknown member, 3 without a quorum (members), 4 where it "
                    + "can't be asked."})
final class FleetCommand extends CommandGroup {
    private static final int NO_QUORUM = 3;
    private static final int NO_ANSWER = 4;
    private static final int MILLIS = 5_000;
    private static final int MOST = 16 * 1024 * 1024;
    private static final long WATCH_MILLIS = 1_000;

    FleetCommand() {
        super("members or explain");
    }

    /** Where to ask. */
    private static final class Where {
        @Mixin
        private ConfigFileOptions files;

        @Option(names = "--at", paramLabel = "ADDRESS:PORT",
                description = "The control port; else fleet.control of the operators' file.")
        private String at;

        @Option(names = "--json", description = "Print JSON objects, one a line.")
        private boolean json;

        InetSocketAddress address() {
            if (at != null) {
                return LaunchConfig.address("--at", at);
            }
            FleetConfig fleet = files.operator(files.launch()).fleet();
            if (fleet == null || fleet.control() == null) {
                throw new ConfigException("fleet.control", "is not set: the gatherer tells nobody of its group");
            }
            return fleet.control();
        }
    }

    @Command(name = "members", mixinStandardHelpOptions = true,
            description = "Print each gatherer of the group and its state.")
    int members(@Mixin Where where,
            @Option(names = "--watch", description = "Go on, and print again whenever the view changes.") boolean watch)
            throws InterruptedException {
        String shown = null;
        while (true) {
            Answer answer = asked(where, "members", shown);
            if (!watch || answer.version() == null) {
                return answer.code();
            }
            shown = answer.version();
            Thread.sleep(WATCH_MILLIS);
        }
    }

    @Command(name = "explain", mixinStandardHelpOptions = true,
            description = "Print who observes a gatherer, what each said of it, and what it would take to remove it.")
    int explain(@Mixin Where where, @Parameters(paramLabel = "NAME") String name) {
        return asked(where, "explain " + name, null).code();
    }

    /**
     * What came of asking.
     *
     * @param version of the view that was told; null where the gatherer did not tell
     */
    private record Answer(int code, String version) {}

    private Answer asked(Where where, String line, String shown) {
        try {
            String answer = ControlClient.ask(where.address(), line, MILLIS, MOST);
            List<String> lines = answer.lines().toList();
            Json.Obj first = ControlClient.object(lines.get(0));
            if (first.get("fault") != null) {
                System.err.println("wallmoor: the gatherer " + first.text("fault"));
                return new Answer(Commands.USAGE, null);
            }
            String version = String.valueOf(first.get("version"));
            if (!version.equals(shown)) {
                for (String l : lines) {
                    System.out.println(where.json ? l : ControlClient.text(ControlClient.object(l)));
                }
            }
            return new Answer(Boolean.FALSE.equals(first.get("quorum")) ? NO_QUORUM : 0, version);
        } catch (ConfigException e) {
            System.err.println("wallmoor: " + e.getMessage());
            return new Answer(Commands.USAGE, null);
        } catch (IOException | Json.Malformed e) {
            System.err.println("wallmoor: the gatherer can't be asked: " + e.getMessage());
            return new Answer(NO_ANSWER, null);
        }
    }
}

package wallmoor.cli;

import java.net.InetSocketAddress;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import wallmoor.config.FleetConfig;
import wallmoor.config.OperatorConfig;
import wallmoor.control.ControlClient;
import wallmoor.json.Json;

/** Shows a local gatherer's view of the group of gatherers, requested over its control port. */
@Command(name = "fleet", mixinStandardHelpOptions = true,
        description = "Show the view that a running gatherer on this machine has of the group of gatherers.",
        footer = {"The gatherer must have fleet.control set in its operators' file.",
            "Exits 0 on success, 2 on an invalid configuration or an unknown member, 3 without a quorum (members), "
                    + "4 if the gatherer does not respond."})
final class FleetCommand extends CommandGroup {
    private static final int NO_QUORUM = 3;
    private static final int TIMEOUT_MILLIS = 5_000;
    private static final int MAX_ANSWER_BYTES = 16 * 1024 * 1024;
    private static final long WATCH_INTERVAL_MILLIS = 1_000;

    FleetCommand() {
        super("members or explain");
    }

    /** Options for the control port {@code fleet.control}. */
    private static final class FleetPort extends ControlPortOptions {
        FleetPort() {
            super("fleet.control", "fleet.control is not set and --at is not given: no control port to ask");
        }

        @Override
        InetSocketAddress configuredAddress(OperatorConfig operator) {
            FleetConfig fleet = operator.fleet();
            return fleet == null ? null : fleet.control();
        }
    }

    @Command(name = "members", mixinStandardHelpOptions = true,
            description = "Print each gatherer of the group and its state.")
    int members(@Mixin FleetPort port,
            @Option(names = "--watch",
                    description = "Keep running, and print again whenever the view changes.") boolean watch)
            throws InterruptedException {
        String printedVersion = null;
        while (true) {
            ControlAnswer answer = ask(port, "members");
            String version = answer.first() == null ? null : String.valueOf(answer.first().get("version"));
            if (version != null && !version.equals(printedVersion)) {
                answer = print(port, answer);
            }
            if (!watch || answer.first() == null) {
                return exitCode(answer);
            }
            printedVersion = version;
            Thread.sleep(WATCH_INTERVAL_MILLIS);
        }
    }

    @Command(name = "explain", mixinStandardHelpOptions = true,
            description = "Print which gatherers observe a gatherer, what each reported, and what its removal needs.")
    int explain(@Mixin FleetPort port, @Parameters(paramLabel = "NAME") String name) {
        return exitCode(print(port, ask(port, "explain " + name)));
    }

    private static ControlAnswer ask(FleetPort port, String request) {
        ControlAnswer answer = ControlAnswer.ask(port, request, TIMEOUT_MILLIS, MAX_ANSWER_BYTES);
        boolean isEmpty = answer.exitCode() == 0 && answer.first() == null;
        return isEmpty ? ControlAnswer.unanswered("the response is empty") : answer;
    }

    private static ControlAnswer print(FleetPort port, ControlAnswer answer) {
        try {
            for (String line : answer.lines()) {
                System.out.println(port.isJson() ? line : JsonText.of(ControlClient.parse(line)));
            }
            return answer;
        } catch (Json.Malformed e) {
            return ControlAnswer.unanswered(e.getMessage());
        }
    }

    private static int exitCode(ControlAnswer answer) {
        boolean hasNoQuorum = answer.first() != null && Boolean.FALSE.equals(answer.first().get("quorum"));
        return hasNoQuorum ? NO_QUORUM : answer.exitCode();
    }
}

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

/** Asks a gatherer on this machine what it knows of the group, over its control port. */
@Command(name = "fleet", mixinStandardHelpOptions = true,
        description = "Ask a running gatherer on this machine what it holds of the group of gatherers.",
        footer = {"It must have fleet.control set in its operators' file.",
            "Exits 0, 2 on a faulty configuration or an unknown member, 3 without a quorum (members), 4 where it "
                    + "can't be asked."})
final class FleetCommand extends CommandGroup {
    private static final int NO_QUORUM = 3;
    private static final int TIMEOUT_MILLIS = 5_000;
    private static final int MAX_ANSWER_BYTES = 16 * 1024 * 1024;
    private static final long WATCH_MILLIS = 1_000;

    FleetCommand() {
        super("members or explain");
    }

    /** Which control port. */
    private static final class FleetPort extends ControlPortOptions {
        FleetPort() {
            super("fleet.control", "is not set: the gatherer tells nobody of its group");
        }

        @Override
        InetSocketAddress configured(OperatorConfig operator) {
            FleetConfig fleet = operator.fleet();
            return fleet == null ? null : fleet.control();
        }
    }

    @Command(name = "members", mixinStandardHelpOptions = true,
            description = "Print each gatherer of the group and its state.")
    int members(@Mixin FleetPort port,
            @Option(names = "--watch", description = "Go on, and print again whenever the view changes.") boolean watch)
            throws InterruptedException {
        String shownVersion = null;
        while (true) {
            ControlAnswer answer = ask(port, "members");
            String version = answer.first() == null ? null : String.valueOf(answer.first().get("version"));
            if (version != null && !version.equals(shownVersion)) {
                answer = print(port, answer);
            }
            if (!watch || answer.first() == null) {
                return exitCode(answer);
            }
            shownVersion = version;
            Thread.sleep(WATCH_MILLIS);
        }
    }

    @Command(name = "explain", mixinStandardHelpOptions = true,
            description = "Print who observes a gatherer, what each said of it, and what it would take to remove it.")
    int explain(@Mixin FleetPort port, @Parameters(paramLabel = "NAME") String name) {
        return exitCode(print(port, ask(port, "explain " + name)));
    }

    private static ControlAnswer ask(FleetPort port, String request) {
        ControlAnswer answer = ControlAnswer.ask(port, request, TIMEOUT_MILLIS, MAX_ANSWER_BYTES);
        boolean empty = answer.exitCode() == 0 && answer.first() == null;
        return empty ? ControlAnswer.unanswered("it did not answer") : answer;
    }

    private static ControlAnswer print(FleetPort port, ControlAnswer answer) {
        try {
            for (String line : answer.lines()) {
                System.out.println(port.json() ? line : JsonText.of(ControlClient.parse(line)));
            }
            return answer;
        } catch (Json.Malformed e) {
            return ControlAnswer.unanswered(e.getMessage());
        }
    }

    private static int exitCode(ControlAnswer answer) {
        boolean noQuorum = answer.first() != null && Boolean.FALSE.equals(answer.first().get("quorum"));
        return noQuorum ? NO_QUORUM : answer.exitCode();
    }
}

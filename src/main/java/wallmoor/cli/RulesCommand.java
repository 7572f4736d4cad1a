package wallmoor.cli;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import wallmoor.config.OperatorConfig;
import wallmoor.config.RulesConfig;
import wallmoor.control.ControlClient;
import wallmoor.json.Json;
import wallmoor.rules.DocumentSchema;
import wallmoor.rules.DocumentSchemas;
import wallmoor.rules.InvalidRuleException;
import wallmoor.rules.RuleBody;

/** Shows and changes the rules that all gatherers agree on, over the control port of a gatherer on this machine. */
@Command(name = "rules", mixinStandardHelpOptions = true,
        description = "Show and change the rules that all gatherers agree on, through a running gatherer on this "
                + "machine.",
        footer = {"The gatherer must have rules.control set in its operators' file.",
            "Exits 0 on success, 2 on an invalid file or configuration, 3 if a proposal was refused or show finds no "
                    + "document in",
            "force under a lease, 4 if the gatherer does not respond, 5 if the outcome of a proposal is unknown."})
final class RulesCommand extends CommandGroup {
    private static final int REFUSED = 3;
    private static final int OUTCOME_UNKNOWN = 5;
    /** Time allowed for a response in addition to what the gatherer itself waits. */
    private static final int RESPONSE_MARGIN_MILLIS = 5_000;
    private static final int MAX_ANSWER_BYTES = 64 << 20;
    private static final long MAX_FILE_BYTES = 1 << 20;
    private static final long WATCH_INTERVAL_MILLIS = 500;
    private static final long MILLIS_PER_SECOND = 1_000;
    private static final List<String> SHOWN_FIELDS = List.of("name", "version", "acting", "basis", "lease_ms",
            "leader", "since", "body", "unreadable", "denied");

    RulesCommand() {
        super("show, history, explain, propose, rollback or check");
    }

    /** Options for the control port {@code rules.control}. */
    private static final class RulesPort extends ControlPortOptions {
        RulesPort() {
            super("rules.control", "rules.control is not set and --at is not given: no control port to ask");
        }

        @Override
        InetSocketAddress configuredAddress(OperatorConfig operator) {
            RulesConfig rules = operator.rules();
            return rules == null ? null : rules.control();
        }
    }

    /** Options for the author of a change and for how long to wait until it is in force. */
    private static final class ChangeOptions {
        @Option(names = "--author", paramLabel = "NAME",
                description = "The author of the change (default: the user's name).")
        private String author = System.getProperty("user.name", "unknown");

        @Option(names = "--wait", paramLabel = "SECONDS", defaultValue = "20",
                description = "How long to wait until the change is in force (default ${DEFAULT-VALUE}).")
        private int waitSeconds;

        long waitMillis() {
            return waitSeconds * MILLIS_PER_SECOND;
        }

        ControlRequest request(String command, String name) {
            return new ControlRequest(command).with("name", name).with("author", author)
                    .with("wait_ms", waitMillis());
        }
    }

    @Command(name = "show", mixinStandardHelpOptions = true,
            description = "Print the rules that the gatherer applies, for each document or for one.")
    int show(@Mixin RulesPort port, @Parameters(paramLabel = "NAME", arity = "0..1") String name,
            @Option(names = "--watch",
                    description = "Keep running, and print again whenever they change.") boolean watch)
            throws InterruptedException {
        var request = new ControlRequest("show");
        if (name != null) {
            request.with("name", name);
        }
        String printedState = "";
        while (true) {
            ControlAnswer answer = ask(port, request, RESPONSE_MARGIN_MILLIS);
            String currentState = stateWithoutTimes(answer.lines());
            if (!currentState.equals(printedState)) {
                printedState = currentState;
                answer.lines().forEach(line -> System.out.println(port.isJson() ? line : summarize(line)));
            }
            if (answer.exitCode() != 0) {
                return answer.exitCode();
            }
            if (!watch) {
                return currentState.contains(" acts") ? 0 : REFUSED;
            }
            Thread.sleep(WATCH_INTERVAL_MILLIS);
        }
    }

    @Command(name = "history", mixinStandardHelpOptions = true,
            description = "Print the versions of a document that the voters retain, and recently refused proposals.")
    int history(@Mixin RulesPort port, @Parameters(paramLabel = "NAME") String name) {
        return askAndPrint(port, new ControlRequest("history").with("name", name), 2 * RESPONSE_MARGIN_MILLIS);
    }

    @Command(name = "explain", mixinStandardHelpOptions = true,
            description = "Print why the gatherer applies its current rules: its lease, its leader, and each version "
                    + "in force.")
    int explain(@Mixin RulesPort port) {
        return askAndPrint(port, new ControlRequest("explain"), RESPONSE_MARGIN_MILLIS);
    }

    @Command(name = "propose", mixinStandardHelpOptions = true,
            description = "Propose a body as the next version; wait until it is in force everywhere, or print why it "
                    + "was refused.")
    int propose(@Mixin RulesPort port, @Mixin ChangeOptions change, @Parameters(paramLabel = "NAME") String name,
            @Parameters(paramLabel = "FILE") Path file,
            @Option(names = "--fallback", paramLabel = "FILE",
                    description = "The rules of a gatherer that can't confirm its version (default: the body's "
                            + "restrictions, without its permissions).") Path fallback,
            @Option(names = "--parent", paramLabel = "N",
                    description = "The version that the proposal is based on (default: the latest).") Long parent) {
        ControlRequest request = change.request("propose", name);
        try {
            request.with("body", read(file));
            if (fallback != null) {
                request.with("fallback", read(fallback));
            }
        } catch (IOException e) {
            return usageError("the file can't be read: " + e.getMessage());
        }
        if (parent != null) {
            request.with("number", parent);
        }
        return askAndPrint(port, request, change.waitMillis() + RESPONSE_MARGIN_MILLIS);
    }

    @Command(name = "rollback", mixinStandardHelpOptions = true,
            description = "Propose an older version's body as a new version.")
    int rollback(@Mixin RulesPort port, @Mixin ChangeOptions change, @Parameters(paramLabel = "NAME") String name,
            @Parameters(paramLabel = "N") long number) {
        ControlRequest request = change.request("rollback", name).with("number", number);
        return askAndPrint(port, request, change.waitMillis() + RESPONSE_MARGIN_MILLIS);
    }

    @Command(name = "check", mixinStandardHelpOptions = true,
            description = "Check a body against its document's schema without contacting a gatherer; print the "
                    + "body and its default fallback.")
    int check(@Parameters(paramLabel = "NAME") String name, @Parameters(paramLabel = "FILE") Path file) {
        DocumentSchema schema = DocumentSchemas.all().get(name);
        if (schema == null) {
            return usageError("document kind " + name + " is unknown; the known kinds are "
                    + String.join(", ", DocumentSchemas.all().keySet().stream().sorted().toList()));
        }
        try {
            RuleBody body = schema.parse(read(file));
            System.out.println("body      " + body.toJson());
            System.out.println("fallback  " + schema.minimalFallback(body).toJson());
            return 0;
        } catch (IOException e) {
            return usageError("the file can't be read: " + e.getMessage());
        } catch (InvalidRuleException e) {
            return usageError(e.getMessage());
        }
    }

    private static String read(Path file) throws IOException {
        if (Files.size(file) > MAX_FILE_BYTES) {
            throw new IOException(file + " is larger than " + MAX_FILE_BYTES + " bytes");
        }
        return Files.readString(file);
    }

    private static int usageError(String reason) {
        return ControlAnswer.failed(Commands.USAGE_ERROR, reason).exitCode();
    }

    private static int askAndPrint(RulesPort port, ControlRequest request, long timeoutMillis) {
        ControlAnswer answer = ask(port, request, timeoutMillis);
        answer.lines().forEach(line -> System.out.println(port.isJson() ? line : JsonText.ofLine(line)));
        return answer.exitCode();
    }

    private static ControlAnswer ask(RulesPort port, ControlRequest request, long timeoutMillis) {
        ControlAnswer answer = ControlAnswer.ask(port, request.toJson(), timeoutMillis, MAX_ANSWER_BYTES);
        Json.Obj first = answer.first();
        if (first == null) {
            return answer;
        }
        if (first.get("unknown") != null) {
            return ControlAnswer.failed(OUTCOME_UNKNOWN, "outcome unknown: " + first.text("unknown"));
        }
        if (!request.command().equals("history") && first.get("refused") != null) {
            return ControlAnswer.failed(REFUSED, "refused: " + first.text("refused"));
        }
        return answer;
    }

    /**
     * Returns the parts of a response that change only with the rules, without times. A document in force under a lease
     * is marked with {@code acts}.
     */
    private static String stateWithoutTimes(List<String> lines) {
        var state = new StringBuilder();
        for (String line : lines) {
            try {
                Json.Obj document = ControlClient.parse(line);
                state.append(document.text("name")).append(document.get("version")).append(document.get("from"))
                        .append(document.get("basis")).append(document.get("leader")).append(document.get("denied"))
                        .append(document.number("acting", 0) > 0 ? " acts" : "").append('\n');
            } catch (Json.Malformed e) {
                state.append(line);
            }
        }
        return state.toString();
    }

    /** Formats the fields that {@code show} prints; returns a line that is not a JSON object unchanged. */
    private static String summarize(String line) {
        try {
            Json.Obj document = ControlClient.parse(line);
            return JsonText.of(document, SHOWN_FIELDS.stream().filter(field -> document.get(field) != null).toList());
        } catch (Json.Malformed e) {
            return line;
        }
    }
}

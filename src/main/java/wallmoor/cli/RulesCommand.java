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

/** The rules that all gatherers agree on: shown and changed over the control port of one on this machine. */
@Command(name = "rules", mixinStandardHelpOptions = true,
        description = "Show and change what all gatherers agree on, over a running gatherer on this machine.",
        footer = {"It must have rules.control set in its operators' file.",
            "Exits 0, 2 on a faulty file or configuration, 3 where a proposal was refused or show finds nothing that "
                    + "acts under",
            "a lease, 4 where the gatherer can't be asked, 5 where it is not known what came of it."})
final class RulesCommand extends CommandGroup {
    private static final int REFUSED = 3;
    private static final int UNKNOWN = 5;
    /** Beyond what the gatherer itself waits. */
    private static final int SPARE_MILLIS = 5_000;
    private static final int MAX_ANSWER_BYTES = 64 << 20;
    private static final long MAX_FILE_BYTES = 1 << 20;
    private static final long WATCH_MILLIS = 500;
    private static final long MILLIS_PER_SECOND = 1_000;
    private static final List<String> SHOWN_FIELDS = List.of("name", "version", "acting", "basis", "lease_ms",
            "leader", "since", "body", "unreadable", "denied");

    RulesCommand() {
        super("show, history, explain, propose, rollback or check");
    }

    /** Which control port. */
    private static final class RulesPort extends ControlPortOptions {
        RulesPort() {
            super("rules.control", "is not set: the gatherer tells nobody of its rules");
        }

        @Override
        InetSocketAddress configured(OperatorConfig operator) {
            RulesConfig rules = operator.rules();
            return rules == null ? null : rules.control();
        }
    }

    /** Who answers for a change, and how long it is waited for. */
    private static final class ChangeOptions {
        @Option(names = "--author", paramLabel = "NAME", description = "Who answers for it; else the user's name.")
        private String author = System.getProperty("user.name", "unknown");

        @Option(names = "--wait", paramLabel = "SECONDS", defaultValue = "20",
                description = "How long to wait until it acts (${DEFAULT-VALUE}).")
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
            description = "Print what the gatherer goes by, of each document or of one.")
    int show(@Mixin RulesPort port, @Parameters(paramLabel = "NAME", arity = "0..1") String name,
            @Option(names = "--watch", description = "Go on, and print again whenever that changes.") boolean watch)
            throws InterruptedException {
        var request = new ControlRequest("show");
        if (name != null) {
            request.with("name", name);
        }
        String shown = "";
        while (true) {
            ControlAnswer answer = ask(port, request, SPARE_MILLIS);
            String now = withoutTimes(answer.lines());
            if (!now.equals(shown)) {
                shown = now;
                answer.lines().forEach(line -> System.out.println(port.json() ? line : brief(line)));
            }
            if (answer.exitCode() != 0) {
                return answer.exitCode();
            }
            if (!watch) {
                return now.contains(" acts") ? 0 : REFUSED;
            }
            Thread.sleep(WATCH_MILLIS);
        }
    }

    @Command(name = "history", mixinStandardHelpOptions = true,
            description = "Print the versions of a document that the voters keep, and what was refused of late.")
    int history(@Mixin RulesPort port, @Parameters(paramLabel = "NAME") String name) {
        return askAndPrint(port, new ControlRequest("history").with("name", name), 2 * SPARE_MILLIS);
    }

    @Command(name = "explain", mixinStandardHelpOptions = true,
            description = "Print why the gatherer goes by what it does: its lease, its leader, each version that "
                    + "holds.")
    int explain(@Mixin RulesPort port) {
        return askAndPrint(port, new ControlRequest("explain"), SPARE_MILLIS);
    }

    @Command(name = "propose", mixinStandardHelpOptions = true,
            description = "Propose a body as the next version; waits until it acts everywhere, or prints why it was "
                    + "refused.")
    int propose(@Mixin RulesPort port, @Mixin ChangeOptions change, @Parameters(paramLabel = "NAME") String name,
            @Parameters(paramLabel = "FILE") Path file,
            @Option(names = "--fallback", paramLabel = "FILE",
                    description = "What a gatherer goes by that can't be sure; else the "
                            + "body's bounds, and nothing of what it gives.") Path fallback,
            @Option(names = "--parent", paramLabel = "N",
                    description = "The version that it was made from; else the last one.") Long parent) {
        ControlRequest request = change.request("propose", name);
        try {
            request.with("body", read(file));
            if (fallback != null) {
                request.with("fallback", read(fallback));
            }
        } catch (IOException e) {
            return fault("the file can't be read: " + e.getMessage());
        }
        if (parent != null) {
            request.with("number", parent);
        }
        return askAndPrint(port, request, change.waitMillis() + SPARE_MILLIS);
    }

    @Command(name = "rollback", mixinStandardHelpOptions = true,
            description = "Propose an older version's body as a new version.")
    int rollback(@Mixin RulesPort port, @Mixin ChangeOptions change, @Parameters(paramLabel = "NAME") String name,
            @Parameters(paramLabel = "N") long number) {
        ControlRequest request = change.request("rollback", name).with("number", number);
        return askAndPrint(port, request, change.waitMillis() + SPARE_MILLIS);
    }

    @Command(name = "check", mixinStandardHelpOptions = true,
            description = "Read a body by this program's rules, without telling anybody; print the fallback it would "
                    + "get.")
    int check(@Parameters(paramLabel = "NAME") String name, @Parameters(paramLabel = "FILE") Path file) {
        DocumentSchema schema = DocumentSchemas.all().get(name);
        if (schema == null) {
            return fault("this program has no kind " + name + "; it has "
                    + String.join(", ", DocumentSchemas.all().keySet().stream().sorted().toList()));
        }
        try {
            RuleBody body = schema.parse(read(file));
            System.out.println("body      " + body.toJson());
            System.out.println("fallback  " + schema.minimalFallback(body).toJson());
            return 0;
        } catch (IOException e) {
            return fault("the file can't be read: " + e.getMessage());
        } catch (InvalidRuleException e) {
            return fault(e.getMessage());
        }
    }

    private static String read(Path file) throws IOException {
        if (Files.size(file) > MAX_FILE_BYTES) {
            throw new IOException("more than " + MAX_FILE_BYTES + " bytes: " + file);
        }
        return Files.readString(file);
    }

    private static int fault(String reason) {
        return ControlAnswer.failed(Commands.USAGE, reason).exitCode();
    }

    private static int askAndPrint(RulesPort port, ControlRequest request, long timeoutMillis) {
        ControlAnswer answer = ask(port, request, timeoutMillis);
        answer.lines().forEach(line -> System.out.println(port.json() ? line : JsonText.ofLine(line)));
        return answer.exitCode();
    }

    private static ControlAnswer ask(RulesPort port, ControlRequest request, long timeoutMillis) {
        ControlAnswer answer = ControlAnswer.ask(port, request.toJson(), timeoutMillis, MAX_ANSWER_BYTES);
        Json.Obj first = answer.first();
        if (first == null) {
            return answer;
        }
        if (first.get("unknown") != null) {
            return ControlAnswer.failed(UNKNOWN, "not known to act: " + first.text("unknown"));
        }
        if (!request.command().equals("history") && first.get("refused") != null) {
            return ControlAnswer.failed(REFUSED, "refused: " + first.text("refused"));
        }
        return answer;
    }

    /** What stays the same while nothing changes, with a word on each document that acts under a lease. */
    private static String withoutTimes(List<String> lines) {
        var steady = new StringBuilder();
        for (String line : lines) {
            try {
                Json.Obj o = ControlClient.parse(line);
                steady.append(o.text("name")).append(o.get("version")).append(o.get("from")).append(o.get("basis"))
                        .append(o.get("leader")).append(o.get("denied"))
                        .append(o.number("acting", 0) > 0 ? " acts" : "").append('\n');
            } catch (Json.Malformed e) {
                steady.append(line);
            }
        }
        return steady.toString();
    }

    private static String brief(String line) {
        try {
            Json.Obj answer = ControlClient.parse(line);
            return JsonText.of(answer, SHOWN_FIELDS.stream().filter(field -> answer.get(field) != null).toList());
        } catch (Json.Malformed e) {
            return line;
        }
    }
}

package wallmoor.cli;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import wallmoor.config.ConfigException;
import wallmoor.config.LaunchConfig;
import wallmoor.config.RulesConfig;
import wallmoor.json.Json;
import wallmoor.rules.DocumentSchema;
import wallmoor.rules.DocumentSchemas;
import wallmoor.rules.InvalidRuleException;
import wallmoor.rules.RuleBody;

/** What all gatherers agree on: shown and changed over the control port of one on this machine. */
@Command(name = "rules", mixinStandardHelpOptions = true,
        description = "Show and change what all gatherers agree on, over a running gatherer on this machine.",
        footer = {"It must have rules.control set in its operators' file.",
            "Exits 0, 2 on a faulty file or configuration, 3 where a proposal was refused or show finds nothing that "
                    + "acts under",
            "a lease, 4 where the gatherer can't be asked, 5 where it is not known what came of it."})
final class RulesCommand extends CommandGroup {
    private static final int REFUSED = 3;
    private static final int NO_ANSWER = 4;
    private static final int UNKNOWN = 5;
    private static final int SPARE_MILLIS = 5_000;
    private static final int MOST = 64 << 20;
    private static final long MOST_FILE = 1 << 20;
    private static final long WATCH_MILLIS = 500;
    private static final long SECOND_MILLIS = 1_000;

    RulesCommand() {
        super("show, history, explain, propose, rollback or check");
    }

    /** Where to ask. */
    private static final class Where {
        @Mixin
        private wallmoor.cli.ConfigFileOptions files;

        @Option(names = "--at", paramLabel = "ADDRESS:PORT",
                description = "The control port; else rules.control of the operators' file.")
        private String at;

        @Option(names = "--json", description = "Print JSON objects, one a line.")
        private boolean json;

        InetSocketAddress address() {
            if (at != null) {
                return LaunchConfig.address("--at", at);
            }
            RulesConfig rules = files.operator(files.launch()).rules();
            if (rules == null || rules.control() == null) {
                throw new ConfigException("rules.control", "is not set: the gatherer tells nobody of its rules");
            }
            return rules.control();
        }
    }

    /** Who answers for a change, and how long it is waited for. */
    private static final class Change {
        @Option(names = "--author", paramLabel = "NAME", description = "Who answers for it; else the user's name.")
        private String author = System.getProperty("user.name", "unknown");

        @Option(names = "--wait", paramLabel = "SECONDS", defaultValue = "20",
                description = "How long to wait until it acts (${DEFAULT-VALUE}).")
        private int wait;
    }

    @Command(name = "show", mixinStandardHelpOptions = true,
            description = "Print what the gatherer goes by, of each document or of one.")
    int show(@Mixin Where where, @Parameters(paramLabel = "NAME", arity = "0..1") String name,
            @Option(names = "--watch", description = "Go on, and print again whenever that changes.") boolean watch)
            throws InterruptedException {
        Map<String, Object> asked = asked("show");
        if (name != null) {
            asked.put("name", name);
        }
        String shown = "";
        while (true) {
            var lines = new ArrayList<String>();
            int code = ask(where, asked, SPARE_MILLIS, lines);
            String now = steady(lines);
            if (!now.equals(shown)) {
                shown = now;
                lines.forEach(l -> System.out.println(where.json ? l : brief(l)));
            }
            if (!watch || code != 0) {
                return code != 0 ? code : now.contains(" acts") ? 0 : REFUSED;
            }
            Thread.sleep(WATCH_MILLIS);
        }
    }

    @Command(name = "history", mixinStandardHelpOptions = true,
            description = "Print the versions of a document that the voters keep, and what was refused of late.")
    int history(@Mixin Where where, @Parameters(paramLabel = "NAME") String name) {
        Map<String, Object> asked = asked("history");
        asked.put("name", name);
        return told(where, asked, 2 * SPARE_MILLIS);
    }

    @Command(name = "explain", mixinStandardHelpOptions = true,
            description = "Print why the gatherer goes by what it does: its lease, its leader, each version that "
                    + "holds.")
    int explain(@Mixin Where where) {
        return told(where, asked("explain"), SPARE_MILLIS);
    }

    @Command(name = "propose", mixinStandardHelpOptions = true,
            description = "Propose a body as the next version; waits until it acts everywhere, or prints why it was "
                    + "refused.")
    int propose(@Mixin Where where, @Mixin Change change, @Parameters(paramLabel = "NAME") String name,
            @Parameters(paramLabel = "FILE") Path file,
            @Option(names = "--fallback", paramLabel = "FILE",
                    description = "What a gatherer goes by that can't be sure; else the "
                            + "body's bounds, and nothing of what it gives.") Path fallback,
            @Option(names = "--parent", paramLabel = "N",
                    description = "The version that it was made from; else the last one.") Long parent) {
        Map<String, Object> asked = change(change, "propose", name);
        try {
            asked.put("body", read(file));
            if (fallback != null) {
                asked.put("fallback", read(fallback));
            }
        } catch (IOException e) {
            return fault("the file can't be read: " + e.getMessage());
        }
        if (parent != null) {
            asked.put("number", parent);
        }
        return told(where, asked, change.wait * SECOND_MILLIS + SPARE_MILLIS);
    }

    @Command(name = "rollback", mixinStandardHelpOptions = true,
            description = "Propose an older version's body as a new version.")
    int rollback(@Mixin Where where, @Mixin Change change, @Parameters(paramLabel = "NAME") String name,
            @Parameters(paramLabel = "N") long number) {
        Map<String, Object> asked = change(change, "rollback", name);
        asked.put("number", number);
        return told(where, asked, change.wait * SECOND_MILLIS + SPARE_MILLIS);
    }

    @Command(name = "check", mixinStandardHelpOptions = true,
            description = "Read a body by this program's rules, without telling anybody; print the fallback it would "
                    + "get.")
    int check(@Parameters(paramLabel = "NAME") String name, @Parameters(paramLabel = "FILE") Path file) {
        DocumentSchema kind = DocumentSchemas.all().get(name);
        if (kind == null) {
            return fault("this program has no kind " + name + "; it has "
                    + String.join(", ", DocumentSchemas.all().keySet().stream().sorted().toList()));
        }
        try {
            RuleBody body = kind.parse(read(file));
            System.out.println("body      " + body.toJson());
            System.out.println("fallback  " + kind.minimalFallback(body).toJson());
            return 0;
        } catch (IOException e) {
            return fault("the file can't be read: " + e.getMessage());
        } catch (InvalidRuleException e) {
            return fault(e.getMessage());
        }
    }

    private static String read(Path file) throws IOException {
        if (Files.size(file) > MOST_FILE) {
            throw new IOException("more than " + MOST_FILE + " bytes: " + file);
        }
        return Files.readString(file);
    }

    private static Map<String, Object> asked(String what) {
        var asked = new LinkedHashMap<String, Object>();
        asked.put("do", what);
        return asked;
    }

    private static Map<String, Object> change(Change change, String what, String name) {
        Map<String, Object> asked = asked(what);
        asked.put("name", name);
        asked.put("author", change.author);
        asked.put("wait_ms", change.wait * SECOND_MILLIS);
        return asked;
    }

    private static int fault(String why) {
        System.err.println("wallmoor: " + why);
        return Commands.USAGE;
    }

    private static int told(Where where, Map<String, Object> asked, long millis) {
        var lines = new ArrayList<String>();
        int code = ask(where, asked, millis, lines);
        lines.forEach(l -> System.out.println(where.json ? l : text(l)));
        return code;
    }

    /** Asks; gives the exit code, and the lines of an answer that is no fault. */
    private static int ask(Where where, Map<String, Object> asked, long millis, List<String> lines) {
        try {
            String answer = ControlClient.ask(where.address(), line(asked), millis, MOST);
            answer.lines().filter(l -> !l.isEmpty()).forEach(lines::add);
            Json.Obj first = lines.isEmpty() ? null : ControlClient.object(lines.get(0));
            if (first != null && (first.get("fault") != null || first.get("unknown") != null)) {
                lines.clear();
                boolean faulty = first.get("fault") != null;
                System.err.println("wallmoor: " + (faulty ? "the gatherer " + first.text("fault")
                        : "not known to act: " + first.text("unknown")));
                return faulty ? Commands.USAGE : UNKNOWN;
            } else if (first != null && !asked.get("do").equals("history") && first.get("refused") != null) {
                lines.clear();
                System.err.println("wallmoor: refused: " + first.text("refused"));
                return REFUSED;
            }
            return 0;
        } catch (ConfigException e) {
            return fault(e.getMessage());
        } catch (IOException | Json.Malformed e) {
            System.err.println("wallmoor: the gatherer can't be asked: " + e.getMessage());
            return NO_ANSWER;
        }
    }

    private static String line(Map<String, Object> asked) {
        var to = new StringBuilder("{");
        asked.forEach((name, value) -> {
            Json.quote(to.append(to.length() == 1 ? "" : ","), name);
            to.append(':');
            if (value instanceof Number) {
                to.append(value);
            } else {
                Json.quote(to, String.valueOf(value));
            }
        });
        return to.append('}').toString();
    }

    /** What stays the same while nothing changes, with a word on each document that acts under a lease. */
    private static String steady(List<String> lines) {
        var steady = new StringBuilder();
        for (String l : lines) {
            try {
                Json.Obj o = ControlClient.object(l);
                steady.append(o.text("name")).append(o.get("version")).append(o.get("from")).append(o.get("basis"))
                        .append(o.get("leader"))
                        .append(o.get("denied")).append(o.number("acting", 0) > 0 ? " acts" : "").append('\n');
            } catch (Json.Malformed e) {
                steady.append(l);
            }
        }
        return steady.toString();
    }

    private static String brief(String line) {
        try {
            Json.Obj o = ControlClient.object(line);
            var text = new StringBuilder();
            for (String field : List.of("name", "version", "acting", "basis", "lease_ms", "leader", "since", "body",
                    "unreadable", "denied")) {
                if (o.get(field) != null) {
                    text.append(text.isEmpty() ? "" : "  ").append(field).append(' ')
                            .append(ControlClient.plain(o.get(field)));
                }
            }
            return text.toString();
        } catch (Json.Malformed e) {
            return line;
        }
    }

    private static String text(String line) {
        try {
            return ControlClient.text(ControlClient.object(line));
        } catch (Json.Malformed e) {
            return line;
        }
    }
}

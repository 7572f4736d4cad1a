package wallmoor.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import wallmoor.json.Json;
import wallmoor.summaries.Condition;
import wallmoor.summaries.Conditions;
import wallmoor.summaries.Encoding;
import wallmoor.summaries.MatchResult;
import wallmoor.summaries.Summary;
import wallmoor.summaries.SummaryBuilder;
import wallmoor.summaries.SummaryLimits;
import wallmoor.summaries.TimeSpan;
import wallmoor.summaries.UnreadableSummaryException;

/** Builds summaries of sites' rows, prints them, and lists the sites that a query must be sent to. */
@Command(name = "summaries", mixinStandardHelpOptions = true,
        description = "Build summaries of sites' rows, and list the sites that a query must be sent to.",
        footer = "Exits 0 on success, 2 on invalid input, with a message that says what is wrong and where.")
final class SummariesCommand extends CommandGroup {
    SummariesCommand() {
        super("build, sites, show or explain");
    }

    /** Thrown for an invalid option or an unreadable file; the message names it and the problem. */
    private static final class InvalidInputException extends Exception {
        private static final long serialVersionUID = 1L;

        InvalidInputException(String message) {
            super(message);
        }
    }

    /** Options for the conditions of a query. */
    private static final class Query {
        @Option(names = "--where", paramLabel = "FIELD=VALUE|FIELD=LO..HI",
                description = "A condition on a property; repeatable. Either end of a range may be omitted.")
        private List<String> where = List.of();

        @Option(names = "--bbox", paramLabel = "W,S,E,N", description = "A box in degrees; W may be east of E.")
        private String bbox;

        @Option(names = "--datetime", paramLabel = "A/B",
                description = "A time, a day, or an interval; .. for an open end.")
        private String datetime;

        private Conditions conditions() throws InvalidInputException {
            String option = "--bbox";
            try {
                Conditions.QueryBox box = bbox == null ? null : Conditions.box(bbox);
                option = "--datetime";
                TimeSpan time = datetime == null ? null : TimeSpan.parse(datetime);
                option = "--where";
                var conditions = new ArrayList<Condition>();
                for (String condition : where) {
                    option = "--where " + condition;
                    conditions.add(Condition.parse(condition));
                }
                return new Conditions(box, time, conditions);
            } catch (IllegalArgumentException e) {
                throw new InvalidInputException(option + ": " + e.getMessage());
            }
        }
    }

    @Command(name = "build", mixinStandardHelpOptions = true,
            description = {"Build the summary of a site's rows, from CSV with a header.",
                "Columns lon and lat are the coordinates. A column whose cells are all numbers is compared by number."})
    int build(@Parameters(paramLabel = "ROWS.csv") Path rows,
            @Option(names = "--site", required = true, paramLabel = "NAME") String site,
            @Option(names = "--out", required = true, paramLabel = "FILE") Path out,
            @Option(names = "--block", defaultValue = "", paramLabel = "BLOCK",
                    description = "The site's region block, which show prints.") String block,
            @Option(names = "--text", paramLabel = "COLUMN",
                    description = "A column of texts, even if all are numbers; repeatable.") List<String> textColumns,
            @Option(names = "--time", defaultValue = "datetime", paramLabel = "COLUMN",
                    description = "The column with a time, a day or an interval A/B "
                            + "(default ${DEFAULT-VALUE}).") String timeColumn,
            @Option(names = "--bytes", paramLabel = "N",
                    description = "The maximum size of the summary in bytes.") Integer bytes) {
        try {
            if (bytes != null && (bytes < SummaryLimits.MIN_BYTES || bytes > SummaryLimits.MAX_BYTES)) {
                return usageError("--bytes is " + bytes + ", must be from " + SummaryLimits.MIN_BYTES + " to "
                        + SummaryLimits.MAX_BYTES);
            }
            SummaryLimits defaults = SummaryLimits.defaults();
            var builder = new SummaryBuilder(
                    bytes == null ? defaults : new SummaryLimits(bytes, defaults.properties(), defaults.values(),
                            defaults.maxValueBytes(), defaults.filterBits(), defaults.boxes(), defaults.spans()),
                    site, block, 1);
            new RowsFile(rows, textColumns == null ? List.of() : textColumns, timeColumn).read(builder::add);
            Summary summary = builder.build(1);
            byte[] encoded = Encoding.encode(summary);
            Path newFile = out.toAbsolutePath().resolveSibling("." + out.getFileName() + ".new");
            Files.write(newFile, encoded);
            Files.move(newFile, out, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
            System.out.println(site + ": " + summary.rows() + " rows, " + encoded.length + " bytes");
            return 0;
        } catch (RowsFile.InvalidRowException | IllegalArgumentException e) {
            return usageError(e.getMessage());
        } catch (IOException e) {
            return usageError(out + " can't be written: " + e);
        }
    }

    @Command(name = "sites", mixinStandardHelpOptions = true,
            description = "List the sites that a query must be sent to, according to the summaries in a directory.",
            footer = {"A file that can't be read is reported on standard error, and its site must be asked;",
                "the site is then the file's name without its extension."})
    int sites(@Option(names = "--dir", required = true, paramLabel = "DIR",
            description = "The directory of files written by build.") Path dir,
            @Mixin Query query, @Option(names = "--json", description = "Print one JSON object.") boolean json) {
        var skipReasons = new TreeMap<String, String>(); // by site, why it is skipped; null if it must be asked
        try {
            Conditions conditions = query.conditions();
            for (Path file : files(dir)) {
                try {
                    Summary summary = read(file);
                    MatchResult match = summary.match(conditions);
                    String reason = match.kind() == MatchResult.MatchKind.CANNOT ? match.reason() : null;
                    // a site with several files is skipped only if each of them excludes the query
                    boolean isAsked = skipReasons.containsKey(summary.site())
                            && skipReasons.get(summary.site()) == null;
                    skipReasons.put(summary.site(), isAsked ? null : reason);
                } catch (InvalidInputException e) {
                    System.err.println("wallmoor: " + e.getMessage());
                    skipReasons.put(file.getFileName().toString().replaceFirst("(?<=.)\\.[^.]*$", ""), null);
                }
            }
        } catch (InvalidInputException e) {
            return usageError(e.getMessage());
        }
        System.out.print(json ? json(skipReasons) + "\n" : text(skipReasons));
        return 0;
    }

    private static String text(Map<String, String> skipReasons) {
        var text = new StringBuilder();
        skipReasons.forEach((site, reason) -> text
                .append(reason == null ? "ask " + site : "skip " + site + ": " + reason)
                .append('\n'));
        return text.toString();
    }

    private static String json(Map<String, String> skipReasons) {
        var askedSites = new StringBuilder();
        var skippedSites = new StringBuilder();
        skipReasons.forEach((site, reason) -> {
            StringBuilder target = reason == null ? askedSites : skippedSites;
            target.append(target.isEmpty() ? "" : ",").append(reason == null ? "" : "{\"site\":");
            Json.quote(target, site);
            if (reason != null) {
                target.append(",\"because\":");
                Json.quote(target, reason);
                target.append('}');
            }
        });
        return "{\"ask\":[" + askedSites + "],\"skip\":[" + skippedSites + "]}";
    }

    @Command(name = "show", mixinStandardHelpOptions = true, description = "Print the contents of a summary.")
    int show(@Parameters(paramLabel = "FILE") Path file) {
        try {
            read(file).lines().forEach(System.out::println);
            return 0;
        } catch (InvalidInputException e) {
            return usageError(e.getMessage());
        }
    }

    @Command(name = "explain", mixinStandardHelpOptions = true,
            description = "Print whether a summary can match a query and each of the query's conditions.")
    int explain(@Parameters(paramLabel = "FILE") Path file, @Mixin Query query) {
        try {
            Conditions conditions = query.conditions();
            Summary summary = read(file);
            if (conditions.box() != null) {
                printMatch("--bbox " + query.bbox, summary.match(new Conditions(conditions.box(), null, List.of())));
            }
            if (conditions.time() != null) {
                printMatch("--datetime " + query.datetime,
                        summary.match(new Conditions(null, conditions.time(), List.of())));
            }
            for (int i = 0; i < conditions.properties().size(); i++) {
                printMatch("--where " + query.where.get(i), summary.match(new Conditions(null, null,
                        List.of(conditions.properties().get(i)))));
            }
            MatchResult match = summary.match(conditions);
            printMatch((match.kind() == MatchResult.MatchKind.CANNOT ? "skip " : "ask ") + summary.site(), match);
            return 0;
        } catch (InvalidInputException e) {
            return usageError(e.getMessage());
        }
    }

    private static void printMatch(String label, MatchResult match) {
        System.out.println(label + ": " + switch (match.kind()) {
            case CANNOT -> "cannot, " + match.reason();
            case UNKNOWN -> "unknown, " + match.reason();
            default -> "could match, " + match.reason();
        });
    }

    private static List<Path> files(Path dir) throws InvalidInputException {
        try (Stream<Path> entries = Files.list(dir)) {
            return entries.filter(f -> !f.getFileName().toString().startsWith(".") && !Files.isDirectory(f)).sorted()
                    .toList();
        } catch (IOException e) {
            throw new InvalidInputException("--dir " + dir + " can't be read: " + e);
        }
    }

    private static Summary read(Path file) throws InvalidInputException {
        try (var in = Files.newInputStream(file)) {
            return Encoding.decode(in.readNBytes(SummaryLimits.MAX_BYTES + 1));
        } catch (IOException e) {
            throw new InvalidInputException(file + " can't be read: " + e);
        } catch (UnreadableSummaryException e) {
            throw new InvalidInputException(file + ": " + e.getMessage());
        }
    }

    private static int usageError(String message) {
        System.err.println("wallmoor: " + message);
        return Commands.USAGE_ERROR;
    }
}

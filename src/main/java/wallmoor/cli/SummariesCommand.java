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

/** Makes summaries of sites' rows, shows them, and tells which sites a query would go to. */
@Command(name = "summaries", mixinStandardHelpOptions = true,
        description = "Make summaries of sites' rows, and tell which sites a query must go to.",
        footer = "Exits 0, 2 for bad input with what is wrong and where.")
final class SummariesCommand extends CommandGroup {
    SummariesCommand() {
        super("build, sites, show or explain");
    }

    /** What can't be used, with where. */
    private static final class InvalidInputException extends Exception {
        private static final long serialVersionUID = 1L;

        InvalidInputException(String what) {
            super(what);
        }
    }

    /** A query's conditions, as options. */
    private static final class Query {
        @Option(names = "--where", paramLabel = "FIELD=VALUE|FIELD=LO..HI",
                description = "A condition on a property; repeat it for more. Either end of a range may be left out.")
        private List<String> where = List.of();

        @Option(names = "--bbox", paramLabel = "W,S,E,N", description = "A box in degrees; W may lie east of E.")
        private String bbox;

        @Option(names = "--datetime", paramLabel = "A/B",
                description = "A time, a day, or an interval; .. for an open end.")
        private String datetime;

        private Conditions conditions() throws InvalidInputException {
            String at = "--bbox";
            try {
                Conditions.QueryBox box = bbox == null ? null : Conditions.box(bbox);
                at = "--datetime";
                TimeSpan time = datetime == null ? null : TimeSpan.parse(datetime);
                at = "--where";
                var all = new ArrayList<Condition>();
                for (String w : where) {
                    at = "--where " + w;
                    all.add(Condition.parse(w));
                }
                return new Conditions(box, time, all);
            } catch (IllegalArgumentException e) {
                throw new InvalidInputException(at + ": " + e.getMessage());
            }
        }
    }

    @Command(name = "build", mixinStandardHelpOptions = true,
            description = {"Make the summary of a site's rows, from CSV with a header.",
                "Columns lon and lat are the place. A column whose cells all read as numbers is compared by number."})
    int build(@Parameters(paramLabel = "ROWS.csv") Path rows,
            @Option(names = "--site", required = true, paramLabel = "NAME") String site,
            @Option(names = "--out", required = true, paramLabel = "FILE") Path out,
            @Option(names = "--block", defaultValue = "", paramLabel = "BLOCK",
                    description = "The region block, for show.") String block,
            @Option(names = "--text", paramLabel = "COLUMN",
                    description = "It holds texts, though they read as numbers; repeatable.") List<String> texts,
            @Option(names = "--time", defaultValue = "datetime", paramLabel = "COLUMN",
                    description = "The time, a day or an interval A/B (default ${DEFAULT-VALUE}).") String time,
            @Option(names = "--bytes", paramLabel = "N", description = "The summary's bytes at most.") Integer bytes) {
        try {
            if (bytes != null && (bytes < SummaryLimits.MIN_BYTES || bytes > SummaryLimits.MAX_BYTES)) {
                return said("--bytes must be from " + SummaryLimits.MIN_BYTES + " to " + SummaryLimits.MAX_BYTES);
            }
            SummaryLimits usual = SummaryLimits.defaults();
            var draft = new SummaryBuilder(
                    bytes == null ? usual : new SummaryLimits(bytes, usual.properties(), usual.values(),
                            usual.maxValueBytes(), usual.filterBits(), usual.boxes(), usual.spans()),
                    site, block, 1);
            new RowsFile(rows, texts == null ? List.of() : texts, time).read(draft::add);
            Summary s = draft.build(1);
            byte[] encoded = Encoding.encode(s);
            Path whole = out.toAbsolutePath().resolveSibling("." + out.getFileName() + ".new");
            Files.write(whole, encoded);
            Files.move(whole, out, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
            System.out.println(site + ": " + s.rows() + " rows, " + encoded.length + " bytes");
            return 0;
        } catch (RowsFile.InvalidRowException | IllegalArgumentException e) {
            return said(e.getMessage());
        } catch (IOException e) {
            return said(out + " can't be written: " + e);
        }
    }

    @Command(name = "sites", mixinStandardHelpOptions = true,
            description = "Tell which sites a query must be asked at, by the summaries in a directory.",
            footer = {"A file that can't be read is told on standard error, and its site is asked:",
                "the file's name without its ending."})
    int sites(@Option(names = "--dir", required = true, paramLabel = "DIR",
            description = "Files made by build.") Path dir,
            @Mixin Query query, @Option(names = "--json", description = "Print one JSON object.") boolean json) {
        var verdicts = new TreeMap<String, String>(); // why a site is skipped; null where it is asked
        try {
            Conditions conditions = query.conditions();
            for (Path file : files(dir)) {
                try {
                    Summary s = read(file);
                    MatchResult v = s.match(conditions);
                    String why = v.kind() == MatchResult.MatchKind.CANNOT ? v.reason() : null;
                    // a site with several files is skipped only where each of them excludes the query
                    boolean asked = verdicts.containsKey(s.site()) && verdicts.get(s.site()) == null;
                    verdicts.put(s.site(), asked ? null : why);
                } catch (InvalidInputException e) {
                    System.err.println("wallmoor: " + e.getMessage());
                    verdicts.put(file.getFileName().toString().replaceFirst("(?<=.)\\.[^.]*$", ""), null);
                }
            }
        } catch (InvalidInputException e) {
            return said(e.getMessage());
        }
        System.out.print(json ? object(verdicts) + "\n" : lines(verdicts));
        return 0;
    }

    private static String lines(Map<String, String> verdicts) {
        var text = new StringBuilder();
        verdicts.forEach((site, why) -> text.append(why == null ? "ask " + site : "skip " + site + ": " + why)
                .append('\n'));
        return text.toString();
    }

    private static String object(Map<String, String> verdicts) {
        var ask = new StringBuilder();
        var skip = new StringBuilder();
        verdicts.forEach((site, why) -> {
            StringBuilder to = why == null ? ask : skip;
            to.append(to.isEmpty() ? "" : ",").append(why == null ? "" : "{\"site\":");
            Json.quote(to, site);
            if (why != null) {
                to.append(",\"because\":");
                Json.quote(to, why);
                to.append('}');
            }
        });
        return "{\"ask\":[" + ask + "],\"skip\":[" + skip + "]}";
    }

    @Command(name = "show", mixinStandardHelpOptions = true, description = "Print what a summary holds.")
    int show(@Parameters(paramLabel = "FILE") Path file) {
        try {
            read(file).lines().forEach(System.out::println);
            return 0;
        } catch (InvalidInputException e) {
            return said(e.getMessage());
        }
    }

    @Command(name = "explain", mixinStandardHelpOptions = true,
            description = "Print what a summary says to a query, and to each of its conditions.")
    int explain(@Parameters(paramLabel = "FILE") Path file, @Mixin Query query) {
        try {
            Conditions all = query.conditions();
            Summary s = read(file);
            if (all.box() != null) {
                say("--bbox " + query.bbox, s.match(new Conditions(all.box(), null, List.of())));
            }
            if (all.time() != null) {
                say("--datetime " + query.datetime, s.match(new Conditions(null, all.time(), List.of())));
            }
            for (int i = 0; i < all.properties().size(); i++) {
                say("--where " + query.where.get(i), s.match(new Conditions(null, null,
                        List.of(all.properties().get(i)))));
            }
            MatchResult v = s.match(all);
            say((v.kind() == MatchResult.MatchKind.CANNOT ? "skip " : "ask ") + s.site(), v);
            return 0;
        } catch (InvalidInputException e) {
            return said(e.getMessage());
        }
    }

    private static void say(String what, MatchResult v) {
        System.out.println(what + ": " + switch (v.kind()) {
            case CANNOT -> "cannot, " + v.reason();
            case UNKNOWN -> "unknown, " + v.reason();
            default -> "could match, " + v.reason();
        });
    }

    private static List<Path> files(Path dir) throws InvalidInputException {
        try (Stream<Path> all = Files.list(dir)) {
            return all.filter(f -> !f.getFileName().toString().startsWith(".") && !Files.isDirectory(f)).sorted()
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

    private static int said(String what) {
        System.err.println("wallmoor: " + what);
        return Commands.USAGE;
    }
}

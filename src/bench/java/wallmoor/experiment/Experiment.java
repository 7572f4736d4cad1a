package wallmoor.experiment;

import java.io.IOException;
import java.io.Reader;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVParser;
import org.apache.commons.csv.CSVPrinter;
import org.apache.commons.csv.CSVRecord;
import org.yaml.snakeyaml.LoaderOptions;
import org.yaml.snakeyaml.Yaml;
import org.yaml.snakeyaml.constructor.SafeConstructor;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * Runs a grid of trials on all cores and writes {@code trials.csv}, a plot for each requested figure, and a page with
 * all tables and plots. Rows that the file already has are not run again, so that an interrupted run can be continued.
 */
@Command(name = "experiment", description = "Plays trials on the model.")
public final class Experiment {
    /** The columns that identify a trial; the columns of its figures follow in the file. */
    static final List<String> KEYS = List.of("way", "members", "fault", "seed");

    /** The keys and figures of one trial. */
    record Row(List<String> keys, Map<String, Long> figures) {}

    /**
     * The content of an experiment file.
     *
     * @param about text for the top of the page
     * @param parallel trials that run concurrently; a trial of a large group needs some GB of memory
     * @param faultSeconds how long the fault lasts
     * @param plots figures to plot
     * @param trials the keys of each trial, see {@link #KEYS}
     */
    record Plan(String title, String about, int parallel, long faultSeconds, List<String> plots,
            List<List<String>> trials) {}

    public static void main(String[] args) {
        System.exit(new CommandLine(new Experiment()).execute(args));
    }

    @Command(name = "run", description = "Plays a file's grid; goes on where an earlier run of it stopped.")
    int run(@Parameters(paramLabel = "FILE.yaml") Path file, @Option(names = "--out", required = true) Path out)
            throws IOException, InterruptedException {
        Plan plan = read(file);
        Files.createDirectories(out);
        Path csv = out.resolve("trials.csv");
        List<Row> rows = new ArrayList<>(Files.exists(csv) ? rows(csv) : List.of());
        var finished = new HashSet<List<String>>();
        rows.forEach(r -> finished.add(r.keys()));
        List<List<String>> remaining = plan.trials().stream().filter(keys -> !finished.contains(keys)).toList();
        System.err.println(plan.trials().size() + " trials, " + remaining.size() + " to play");
        runTrials(plan, remaining, csv, rows);
        rows.sort(java.util.Comparator.comparing(r -> plan.trials().indexOf(r.keys())));
        Report.write(plan, rows, out);
        return 0;
    }

    private static void runTrials(Plan plan, List<List<String>> remaining, Path csv, List<Row> rows)
            throws IOException, InterruptedException {
        var pool = Executors.newFixedThreadPool(plan.parallel());
        try (Writer to = Files.newBufferedWriter(csv, StandardCharsets.UTF_8, StandardOpenOption.CREATE,
                StandardOpenOption.APPEND);
                var printer = new CSVPrinter(to, CSVFormat.RFC4180)) {
            boolean[] hasHeader = {!rows.isEmpty()};
            var tasks = new ArrayList<Callable<Void>>();
            for (List<String> keys : remaining) {
                tasks.add(() -> {
                    Map<String, Long> figures = GroupTrial.run(keys.get(0), Integer.parseInt(keys.get(1)),
                            GroupTrial.fault(keys.get(2)),
                            Long.parseLong(keys.get(3)), plan.faultSeconds());
                    synchronized (rows) {
                        if (!hasHeader[0]) {
                            hasHeader[0] = true;
                            printer.printRecord(
                                    java.util.stream.Stream.concat(KEYS.stream(), figures.keySet().stream()).toList());
                        }
                        printer.printRecord(
                                java.util.stream.Stream.concat(keys.stream(), figures.values().stream()).toList());
                        printer.flush();
                        rows.add(new Row(keys, figures));
                        System.err.println(rows.size() + "/" + plan.trials().size() + " " + keys + " " + figures);
                    }
                    return null;
                });
            }
            for (var future : pool.invokeAll(tasks)) {
                future.get();
            }
        } catch (ExecutionException e) {
            throw new IOException("a trial failed: " + e.getCause(), e.getCause());
        } finally {
            pool.shutdownNow();
        }
    }

    static List<Row> rows(Path csv) throws IOException {
        var rows = new ArrayList<Row>();
        try (Reader in = Files.newBufferedReader(csv, StandardCharsets.UTF_8);
                CSVParser parser = CSVFormat.RFC4180.builder().setHeader().setSkipHeaderRecord(true).get().parse(in)) {
            for (CSVRecord r : parser) {
                if (r.isConsistent()) { // the last line of an interrupted run may be incomplete
                    var figures = new LinkedHashMap<String, Long>();
                    parser.getHeaderNames().stream().filter(h -> !KEYS.contains(h))
                            .forEach(h -> figures.put(h, Long.valueOf(r.get(h))));
                    rows.add(new Row(KEYS.stream().map(r::get).toList(), figures));
                }
            }
        }
        return rows;
    }

    static Plan read(Path file) throws IOException {
        Map<String, Object> document;
        try (Reader in = Files.newBufferedReader(file, StandardCharsets.UTF_8)) {
            document = new Yaml(new SafeConstructor(new LoaderOptions())).load(in);
        }
        if (!"group".equals(document.get("experiment"))) {
            throw new IOException(file + ": experiment: must be \"group\", not \"" + document.get("experiment") + "\"");
        }
        int seeds = ((Number) document.getOrDefault("seeds", 1)).intValue();
        var trials = new ArrayList<List<String>>();
        for (Object g : list(document.get("grids"))) {
            Map<?, ?> grid = (Map<?, ?>) g;
            int gridSeeds = grid.get("seeds") instanceof Number own ? own.intValue() : seeds;
            for (Object members : list(grid.get("members"))) {
                for (Object fault : list(grid.get("fault"))) {
                    GroupTrial.fault(fault.toString()); // rejects an unknown fault before any trial runs
                    for (Object way : list(grid.get("way"))) {
                        for (int seed = 1; seed <= gridSeeds; seed++) {
                            trials.add(List.of(way.toString(), members.toString(), fault.toString(),
                                    Integer.toString(seed)));
                        }
                    }
                }
            }
        }
        int cores = Runtime.getRuntime().availableProcessors();
        return new Plan(document.get("title").toString(), document.getOrDefault("about", "").toString(),
                ((Number) document.getOrDefault("parallel", cores)).intValue(),
                ((Number) document.getOrDefault("fault_seconds", 60)).longValue(),
                list(document.get("plots")).stream().map(Object::toString).toList(), trials);
    }

    private static List<?> list(Object o) {
        return o instanceof List<?> l ? l : o == null ? List.of() : List.of(o);
    }
}

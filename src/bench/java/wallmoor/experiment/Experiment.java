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
 * Plays a grid of trials over all cores and writes {@code trials.csv}, a plot for each figure asked for and a page that
 * holds all of it. Rows that the file has already are not played again, so that a run that was stopped goes on.
 */
@Command(name = "experiment", description = "Plays trials on the model.")
public final class Experiment {
    /** What a trial is told apart by; its figures follow in the file. */
    static final List<String> KEYS = List.of("way", "members", "fault", "seed");

    /** One row: the trial's keys, and its figures. */
    record Row(List<String> keys, Map<String, Long> figures) {}

    /**
     * A file's content.
     *
     * @param parallel trials at once; large groups need some GB each
     * @param plots    figures to plot
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
        var played = new HashSet<List<String>>();
        rows.forEach(r -> played.add(r.keys()));
        List<List<String>> left = plan.trials().stream().filter(t -> !played.contains(t)).toList();
        System.err.println(plan.trials().size() + " trials, " + left.size() + " to play");
        play(plan, left, csv, rows);
        rows.sort(java.util.Comparator.comparing(r -> plan.trials().indexOf(r.keys())));
        Report.write(plan, rows, out);
        return 0;
    }

    private static void play(Plan plan, List<List<String>> left, Path csv, List<Row> rows)
            throws IOException, InterruptedException {
        var pool = Executors.newFixedThreadPool(plan.parallel());
        try (Writer to = Files.newBufferedWriter(csv, StandardCharsets.UTF_8, StandardOpenOption.CREATE,
                StandardOpenOption.APPEND);
                var printer = new CSVPrinter(to, CSVFormat.RFC4180)) {
            boolean[] headed = {!rows.isEmpty()};
            var tasks = new ArrayList<Callable<Void>>();
            for (List<String> t : left) {
                tasks.add(() -> {
                    Map<String, Long> figures = GroupTrial.play(t.get(0), Integer.parseInt(t.get(1)),
                            GroupTrial.fault(t.get(2)),
                            Long.parseLong(t.get(3)), plan.faultSeconds());
                    synchronized (rows) {
                        if (!headed[0]) {
                            headed[0] = true;
                            printer.printRecord(
                                    java.util.stream.Stream.concat(KEYS.stream(), figures.keySet().stream()).toList());
                        }
                        printer.printRecord(
                                java.util.stream.Stream.concat(t.stream(), figures.values().stream()).toList());
                        printer.flush();
                        rows.add(new Row(t, figures));
                        System.err.println(rows.size() + "/" + plan.trials().size() + " " + t + " " + figures);
                    }
                    return null;
                });
            }
            for (var done : pool.invokeAll(tasks)) {
                done.get();
            }
        } catch (ExecutionException e) {
            throw new IOException("a trial failed", e.getCause());
        } finally {
            pool.shutdownNow();
        }
    }

    static List<Row> rows(Path csv) throws IOException {
        var rows = new ArrayList<Row>();
        try (Reader in = Files.newBufferedReader(csv, StandardCharsets.UTF_8);
                CSVParser parser = CSVFormat.RFC4180.builder().setHeader().setSkipHeaderRecord(true).get().parse(in)) {
            for (CSVRecord r : parser) {
                if (r.isConsistent()) { // the last line of a run that was stopped may be a part
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
        Map<String, Object> top;
        try (Reader in = Files.newBufferedReader(file, StandardCharsets.UTF_8)) {
            top = new Yaml(new SafeConstructor(new LoaderOptions())).load(in);
        }
        if (!"group".equals(top.get("experiment"))) {
            throw new IOException(file + ": experiment: is not group");
        }
        int seeds = ((Number) top.getOrDefault("seeds", 1)).intValue();
        var trials = new ArrayList<List<String>>();
        for (Object g : list(top.get("grids"))) {
            Map<?, ?> grid = (Map<?, ?>) g;
            int its = grid.get("seeds") instanceof Number own ? own.intValue() : seeds;
            for (Object n : list(grid.get("members"))) {
                for (Object fault : list(grid.get("fault"))) {
                    GroupTrial.fault(fault.toString()); // named wrongly, it fails before anything is played
                    for (Object way : list(grid.get("way"))) {
                        for (int seed = 1; seed <= its; seed++) {
                            trials.add(List.of(way.toString(), n.toString(), fault.toString(), Integer.toString(seed)));
                        }
                    }
                }
            }
        }
        int cores = Runtime.getRuntime().availableProcessors();
        return new Plan(top.get("title").toString(), top.getOrDefault("about", "").toString(),
                ((Number) top.getOrDefault("parallel", cores)).intValue(),
                ((Number) top.getOrDefault("fault_seconds", 60)).longValue(),
                list(top.get("plots")).stream().map(Object::toString).toList(), trials);
    }

    private static List<?> list(Object o) {
        return o instanceof List<?> l ? l : o == null ? List.of() : List.of(o);
    }
}

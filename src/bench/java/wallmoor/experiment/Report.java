package wallmoor.experiment;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.HdrHistogram.Histogram;
import org.apache.commons.text.StringEscapeUtils;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;

/** Writes the tables and plots of an experiment as one self-contained HTML page. */
final class Report {
    private static final int WIDTH = 860;
    private static final int HEIGHT = 360;

    /** The trials of one way, one group size and one fault, over all seeds. */
    private record Cell(String way, String members, String fault) {
        String label() {
            return fault + ", " + members;
        }
    }

    private Report() {}

    static void write(Experiment.Plan plan, List<Experiment.Row> rows, Path out) throws IOException {
        var html = new StringBuilder("<!doctype html><meta charset=utf-8><title>")
                .append(StringEscapeUtils.escapeHtml4(plan.title()))
                .append("</title><style>body{font:15px sans-serif;max-width:60em;margin:2em auto}td,th{padding:.15em "
                        + ".7em;text-align:right}"
                        + "td:first-child,th:first-child{text-align:left}</style><h1>")
                .append(StringEscapeUtils.escapeHtml4(plan.title())).append("</h1><p>")
                .append(StringEscapeUtils.escapeHtml4(plan.about()));
        for (String figure : plan.plots()) {
            byte[] png = plot(figure, rows);
            Files.write(out.resolve(figure + ".png"), png);
            html.append("<h2>").append(figure).append("</h2><img alt=\"").append(figure)
                    .append("\" src=\"data:image/png;base64,")
                    .append(Base64.getEncoder().encodeToString(png)).append("\">").append(table(figure, rows));
        }
        Files.writeString(out.resolve("index.html"), html);
    }

    /**
     * Returns the cells in the order of the file, each with its values of the given figure; a negative value means that
     * the state was not reached.
     */
    private static Map<Cell, List<Long>> cells(String figure, List<Experiment.Row> rows) {
        var cells = new LinkedHashMap<Cell, List<Long>>();
        for (Experiment.Row r : rows) {
            List<Long> values = cells.computeIfAbsent(new Cell(r.keys().get(0), r.keys().get(1), r.keys().get(2)),
                    c -> new ArrayList<>());
            values.add(r.figures().get(figure));
        }
        return cells;
    }

    private static Histogram histogram(List<Long> values) {
        var h = new Histogram(3);
        values.stream().filter(v -> v >= 0).forEach(h::recordValue);
        return h;
    }

    private static byte[] plot(String figure, List<Experiment.Row> rows) throws IOException {
        Map<Cell, List<Long>> cells = cells(figure, rows);
        List<String> labels = cells.keySet().stream().map(Cell::label).distinct().toList();
        CategoryChart chart = new CategoryChartBuilder().width(WIDTH).height(HEIGHT).title(figure + ", mean over seeds")
                .xAxisTitle("fault, members").yAxisTitle(figure).build();
        for (String way : cells.keySet().stream().map(Cell::way).distinct().toList()) {
            Map<String, Double> means = cells.entrySet().stream().filter(e -> e.getKey().way().equals(way))
                    .collect(Collectors.toMap(e -> e.getKey().label(), e -> histogram(e.getValue()).getMean()));
            chart.addSeries(way, labels, labels.stream().map(a -> means.getOrDefault(a, 0.0)).toList());
        }
        chart.getStyler().setXAxisLabelRotation(30);
        return BitmapEncoder.getBitmapBytes(chart, BitmapEncoder.BitmapFormat.PNG);
    }

    private static String table(String figure, List<Experiment.Row> rows) {
        var html = new StringBuilder(
                "<table><tr><th>fault, members<th>way<th>seeds<th>not reached<th>p50<th>p99<th>worst<th>sum");
        cells(figure, rows).forEach((c, values) -> {
            Histogram h = histogram(values);
            html.append("<tr><td>").append(c.label()).append("<td>").append(c.way()).append("<td>")
                    .append(values.size())
                    .append("<td>")
                    .append(values.stream().filter(v -> v < 0).count()).append("<td>")
                    .append(h.getValueAtPercentile(50)).append("<td>")
                    .append(h.getValueAtPercentile(99)).append("<td>").append(h.getMaxValue()).append("<td>")
                    .append(values.stream().filter(v -> v >= 0).mapToLong(v -> v).sum());
        });
        return html.append("</table>").toString();
    }
}

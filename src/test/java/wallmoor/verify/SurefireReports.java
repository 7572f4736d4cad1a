package wallmoor.verify;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import javax.xml.parsers.DocumentBuilderFactory;
import javax.xml.parsers.ParserConfigurationException;
import org.w3c.dom.Element;
import org.w3c.dom.NodeList;
import org.xml.sax.SAXException;

/** Reads the XML reports that Surefire writes, one for each test class. */
final class SurefireReports {
    /** The elements of a test case that stand for a failed attempt; all but the first two occur with reruns only. */
    private static final List<String> FAILURES = List.of("failure", "error", "flakyFailure", "flakyError",
            "rerunFailure", "rerunError");

    private SurefireReports() {}

    /** Returns the outcome of each test by {@code class#method}, from the reports written at {@code since} or later. */
    static Map<String, TestOutcome> read(Path directory, Instant since) throws IOException {
        var outcomes = new HashMap<String, TestOutcome>();
        try (DirectoryStream<Path> reports = Files.newDirectoryStream(directory, "TEST-*.xml")) {
            for (Path report : reports) {
                if (!Files.getLastModifiedTime(report).toInstant().isBefore(since)) {
                    readReport(report, outcomes);
                }
            }
        }
        return outcomes;
    }

    private static void readReport(Path report, Map<String, TestOutcome> outcomes) throws IOException {
        NodeList cases;
        try {
            cases = DocumentBuilderFactory.newInstance().newDocumentBuilder().parse(report.toFile())
                    .getElementsByTagName("testcase");
        } catch (ParserConfigurationException | SAXException e) {
            throw new IOException(report + ": not a Surefire report in XML", e);
        }
        for (int i = 0; i < cases.getLength(); i++) {
            var test = (Element) cases.item(i);
            outcomes.merge(test.getAttribute("classname") + "#" + test.getAttribute("name"), outcomeOf(test),
                    (one, other) -> one.compareTo(other) > 0 ? one : other);
        }
    }

    /** Returns FAILED if any attempt failed, even where a rerun, which the command line may request, passed. */
    private static TestOutcome outcomeOf(Element test) {
        if (FAILURES.stream().anyMatch(child -> has(test, child))) {
            return TestOutcome.FAILED;
        }
        return has(test, "skipped") ? TestOutcome.SKIPPED : TestOutcome.PASSED;
    }

    private static boolean has(Element test, String child) {
        return test.getElementsByTagName(child).getLength() > 0;
    }
}

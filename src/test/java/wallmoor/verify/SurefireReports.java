package wallmoor.verify;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import javax.xml.parsers.DocumentBuilderFactory;
import javax.xml.parsers.ParserConfigurationException;
import org.w3c.dom.Element;
import org.w3c.dom.NodeList;
import org.xml.sax.SAXException;

/** Reads the XML reports that Surefire writes, one for each test class. */
final class SurefireReports {
    private SurefireReports() {}

    /** The outcome of each test, by {@code class#method}, of the reports written at {@code since} or later. */
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
            throw new IOException(report + ": not a report", e);
        }
        for (int i = 0; i < cases.getLength(); i++) {
            var test = (Element) cases.item(i);
            outcomes.merge(test.getAttribute("classname") + "#" + test.getAttribute("name"), outcomeOf(test),
                    (one, other) -> one.compareTo(other) > 0 ? one : other);
        }
    }

    /** A test that passes at a rerun has only {@code flakyFailure} or {@code flakyError}. */
    private static TestOutcome outcomeOf(Element test) {
        if (has(test, "failure") || has(test, "error")) {
            return TestOutcome.FAILED;
        }
        return has(test, "skipped") ? TestOutcome.SKIPPED : TestOutcome.PASSED;
    }

    private static boolean has(Element test, String child) {
        return test.getElementsByTagName(child).getLength() > 0;
    }
}

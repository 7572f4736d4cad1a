package wallmoor.standin;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.function.Consumer;
import org.slf4j.Marker;
import org.slf4j.event.Level;
import org.slf4j.helpers.LegacyAbstractLogger;
import org.slf4j.helpers.MessageFormatter;

/**
 * A logger that gives its formatted messages to a test, with the stack trace of a thrown exception. As in the program's
 * default configuration, the levels below INFO are off.
 */
public final class RecordingLogger extends LegacyAbstractLogger {
    private static final long serialVersionUID = 1L;

    private final transient Consumer<String> lines;

    /** Gives each message to {@code lines}; an exception of that consumer reaches the caller that logs. */
    public RecordingLogger(Consumer<String> lines) {
        this.lines = lines;
        name = "recording";
    }

    @Override
    protected void handleNormalizedLoggingCall(Level level, Marker marker, String message, Object[] arguments,
            Throwable thrown) {
        var line = new StringWriter();
        line.append(MessageFormatter.basicArrayFormat(message, arguments));
        if (thrown != null) {
            line.append('\n');
            thrown.printStackTrace(new PrintWriter(line, true));
        }
        lines.accept(line.toString());
    }

    @Override
    protected String getFullyQualifiedCallerName() {
        return null;
    }

    @Override
    public boolean isTraceEnabled() {
        return false;
    }

    @Override
    public boolean isDebugEnabled() {
        return false;
    }

    @Override
    public boolean isInfoEnabled() {
        return true;
    }

    @Override
    public boolean isWarnEnabled() {
        return true;
    }

    @Override
    public boolean isErrorEnabled() {
        return true;
    }
}

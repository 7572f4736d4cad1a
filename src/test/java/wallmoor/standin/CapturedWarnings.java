package wallmoor.standin;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.AppenderBase;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.slf4j.LoggerFactory;

/** Captures the warnings and errors of a package's loggers until it is closed. Thread-safe. */
public final class CapturedWarnings implements AutoCloseable {
    private final Logger logger;
    private final List<String> messages = new CopyOnWriteArrayList<>();
    private final AppenderBase<ILoggingEvent> appender = new AppenderBase<>() {
        @Override
        protected void append(ILoggingEvent event) {
            if (event.getLevel().isGreaterOrEqual(Level.WARN)) {
                messages.add(event.getFormattedMessage());
            }
        }
    };

    /** Captures what this logger and those below it write. */
    public CapturedWarnings(String loggerName) {
        logger = (Logger) LoggerFactory.getLogger(loggerName);
        appender.setContext(logger.getLoggerContext());
        appender.start();
        logger.addAppender(appender);
    }

    /** Returns a copy of the formatted messages so far. */
    public List<String> messages() {
        return List.copyOf(messages);
    }

    @Override
    public void close() {
        logger.detachAppender(appender);
    }
}

package wallmoor.log;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.ThrowableProxyUtil;
import ch.qos.logback.classic.turbo.TurboFilter;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.LayoutBase;
import ch.qos.logback.core.encoder.Encoder;
import ch.qos.logback.core.encoder.LayoutWrappingEncoder;
import ch.qos.logback.core.spi.ContextAwareBase;
import ch.qos.logback.core.spi.FilterReply;
import org.slf4j.LoggerFactory;
import org.slf4j.Marker;
import wallmoor.config.OperatorConfig.LogConfig;

/**
 * Configures Logback in code, as an XML configuration would load a parser at each start. Writes text lines to standard
 * error until a configuration is applied, and follows the configuration from then on.
 */
public final class Logging extends ContextAwareBase implements Configurator {
    /** The lines of one form that pass in a period, so that a fault that repeats with each query causes no load. */
    private static final int MAX_SIMILAR_LINES = 20;
    private static final long REPEAT_PERIOD_MILLIS = 10_000;
    /**
     * The name of the marker of lines that are never suppressed. Each reports a state that is valid from now on;
     * without the last one, the log would show an outdated state as the current one.
     */
    public static final String STATE = "state";
    /** Libraries that log each endpoint they open, or each step of an election; their level is WARN by default. */
    private static final String[] VERBOSE_LIBRARIES = {"org.eclipse.californium", "io.microraft"};

    /** Formats text lines. A Logback pattern would do, but parsing one delays the start by 0.1 s on half a core. */
    private static final class TextLayout extends LayoutBase<ILoggingEvent> {
        @Override
        public String doLayout(ILoggingEvent event) {
            String logger = event.getLoggerName();
            var line = new StringBuilder(128).append(event.getInstant()).append(' ').append(event.getLevel())
                    .append(' ')
                    .append(logger, logger.lastIndexOf('.') + 1, logger.length()).append(": ")
                    .append(event.getFormattedMessage()).append('\n');
            if (event.getThrowableProxy() != null) {
                line.append(ThrowableProxyUtil.asString(event.getThrowableProxy()));
            }
            return line.toString();
        }
    }

    /** Drops lines that repeat too often, no matter which numbers and names they contain. */
    private static final class RepeatFilter extends TurboFilter {
        private final RepeatLimiter limiter = new RepeatLimiter(MAX_SIMILAR_LINES, REPEAT_PERIOD_MILLIS);

        @Override
        public FilterReply decide(Marker marker, Logger logger, Level level, String format, Object[] params,
                Throwable thrown) {
            if (format == null || (marker != null && marker.getName().equals(STATE))
                    || !level.isGreaterOrEqual(logger.getEffectiveLevel())) {
                return FilterReply.NEUTRAL;
            }
            int suppressed;
            synchronized (limiter) {
                suppressed = limiter.pass(System.currentTimeMillis(), logger.getName() + form(format, params));
            }
            if (suppressed < 0) {
                return FilterReply.DENY;
            }
            if (suppressed > 0) {
                if (level.isGreaterOrEqual(Level.WARN)) {
                    logger.warn("lines like the next one were suppressed: count={}", suppressed);
                } else {
                    logger.info("lines like the next one were suppressed: count={}", suppressed);
                }
            }
            return FilterReply.NEUTRAL;
        }

        /** Returns the form of a line: its pattern, or its text with # for each number if it has no arguments. */
        private static String form(String format, Object[] params) {
            if (params != null) {
                return format;
            }
            var form = new StringBuilder(format.length());
            boolean isNumber = false;
            for (int i = 0; i < format.length(); i++) {
                char c = format.charAt(i);
                if (c < '0' || c > '9') {
                    form.append(c);
                } else if (!isNumber) {
                    form.append('#');
                }
                isNumber = c >= '0' && c <= '9';
            }
            return form.toString();
        }
    }

    /** Configures a context for Logback, which finds this class by its service file. */
    @Override
    public ExecutionStatus configure(LoggerContext context) {
        configureDefaults(context);
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
    }

    /** Sets the configuration that applies until {@link #apply} is called. */
    static void configureDefaults(LoggerContext context) {
        var filter = new RepeatFilter();
        filter.setContext(context);
        filter.start();
        context.addTurboFilter(filter);
        setAppender(context, false);
    }

    /** Applies a configuration; loggers that it doesn't name get the level INFO. */
    public static void apply(LogConfig config) {
        var context = (LoggerContext) LoggerFactory.getILoggerFactory();
        if (config.json() != Boolean.TRUE.equals(context.getObject("json"))) {
            setAppender(context, config.json());
        }
        context.getLoggerList()
                .forEach(l -> l.setLevel(l.getName().equals(Logger.ROOT_LOGGER_NAME) ? Level.INFO : null));
        for (String library : VERBOSE_LIBRARIES) {
            context.getLogger(library).setLevel(Level.WARN);
        }
        config.levels().forEach((name, level) -> context.getLogger(name).setLevel(Level.toLevel(level)));
    }

    /** Replaces the appender of the root logger, and resets the levels to their defaults. */
    private static void setAppender(LoggerContext context, boolean isJson) {
        Encoder<ILoggingEvent> encoder;
        if (isJson) {
            var jsonEncoder = new JsonEncoder();
            jsonEncoder.setWithSequenceNumber(false);
            jsonEncoder.setWithContext(false);
            jsonEncoder.setWithNanoseconds(false);
            jsonEncoder.setWithFormattedMessage(true);
            jsonEncoder.setWithMessage(false);
            encoder = jsonEncoder;
        } else {
            var layout = new TextLayout();
            layout.setContext(context);
            layout.start();
            var textEncoder = new LayoutWrappingEncoder<ILoggingEvent>();
            textEncoder.setLayout(layout);
            encoder = textEncoder;
        }
        encoder.setContext(context);
        encoder.start();
        var appender = new ConsoleAppender<ILoggingEvent>();
        appender.setContext(context);
        appender.setName("console");
        appender.setTarget("System.err");
        appender.setEncoder(encoder);
        appender.start();
        Logger root = context.getLogger(Logger.ROOT_LOGGER_NAME);
        root.detachAndStopAllAppenders();
        root.setLevel(Level.INFO);
        root.addAppender(appender);
        for (String library : VERBOSE_LIBRARIES) {
            context.getLogger(library).setLevel(Level.WARN);
        }
        context.putObject("json", isJson);
    }
}

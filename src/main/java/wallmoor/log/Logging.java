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
 * Sets Logback up, by code: its XML would cost a start the parser. Readable lines on standard error until a
 * configuration is applied, then as that says.
 */
public final class Logging extends ContextAwareBase implements Configurator {
    /** Of lines of one form so many pass in ten seconds: a fault that repeats with each query must not be the load. */
    private static final int MOST_ALIKE = 20;
    private static final long PERIOD_MILLIS = 10_000;
    /**
     * The name of the marker of lines that are never held back: each says what holds from now on, so that without the
     * last of them an old state would stand in the log as the present one.
     */
    public static final String STATE = "state";
    /** Libraries that tell of each endpoint they open, and of each step of an election. */
    private static final String[] TALKATIVE = {"org.eclipse.californium", "io.microraft"};

    /**
     * Readable lines. Logback's patterns would do, but reading one costs a start a tenth of a second on half a core.
     */
    private static final class ReadableLayout extends LayoutBase<ILoggingEvent> {
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

    /** Drops lines that repeat too often, whatever their numbers and names. */
    private static final class RepeatFilter extends TurboFilter {
        private final RepeatLimiter repeats = new RepeatLimiter(MOST_ALIKE, PERIOD_MILLIS);

        @Override
        public FilterReply decide(Marker marker, Logger logger, Level level, String format, Object[] params,
                Throwable thrown) {
            if (format == null || (marker != null && marker.getName().equals(STATE))
                    || !level.isGreaterOrEqual(logger.getEffectiveLevel())) {
                return FilterReply.NEUTRAL;
            }
            int held;
            synchronized (repeats) {
                held = repeats.pass(System.currentTimeMillis(), logger.getName() + form(format, params));
            }
            if (held < 0) {
                return FilterReply.DENY;
            }
            if (held > 0) {
                if (level.isGreaterOrEqual(Level.WARN)) {
                    logger.warn("{} lines like the next were held back", held);
                } else {
                    logger.info("{} lines like the next were held back", held);
                }
            }
            return FilterReply.NEUTRAL;
        }

        /** A line's form: its pattern, or where it has none its text without numbers. */
        private static String form(String format, Object[] params) {
            if (params != null) {
                return format;
            }
            var form = new StringBuilder(format.length());
            boolean number = false;
            for (int i = 0; i < format.length(); i++) {
                char c = format.charAt(i);
                if (c < '0' || c > '9') {
                    form.append(c);
                } else if (!number) {
                    form.append('#');
                }
                number = c >= '0' && c <= '9';
            }
            return form.toString();
        }
    }

    /** How Logback calls it, by its service file. */
    @Override
    public ExecutionStatus configure(LoggerContext context) {
        begin(context);
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
    }

    /** What holds until a configuration is applied. */
    static void begin(LoggerContext context) {
        var limit = new RepeatFilter();
        limit.setContext(context);
        limit.start();
        context.addTurboFilter(limit);
        setUp(context, false);
    }

    /** Applies a configuration; what it does not name has the level INFO. */
    public static void apply(LogConfig config) {
        var context = (LoggerContext) LoggerFactory.getILoggerFactory();
        if (config.json() != Boolean.TRUE.equals(context.getObject("json"))) {
            setUp(context, config.json());
        }
        context.getLoggerList()
                .forEach(l -> l.setLevel(l.getName().equals(Logger.ROOT_LOGGER_NAME) ? Level.INFO : null));
        for (String library : TALKATIVE) {
            context.getLogger(library).setLevel(Level.WARN);
        }
        config.levels().forEach((name, level) -> context.getLogger(name).setLevel(Level.toLevel(level)));
    }

    private static void setUp(LoggerContext context, boolean json) {
        Encoder<ILoggingEvent> encoder;
        if (json) {
            var lines = new JsonEncoder();
            lines.setWithSequenceNumber(false);
            lines.setWithContext(false);
            lines.setWithNanoseconds(false);
            lines.setWithFormattedMessage(true);
            lines.setWithMessage(false);
            encoder = lines;
        } else {
            var layout = new ReadableLayout();
            layout.setContext(context);
            layout.start();
            var lines = new LayoutWrappingEncoder<ILoggingEvent>();
            lines.setLayout(layout);
            encoder = lines;
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
        for (String library : TALKATIVE) {
            context.getLogger(library).setLevel(Level.WARN);
        }
        context.putObject("json", json);
    }
}

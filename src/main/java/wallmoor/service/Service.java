package wallmoor.service;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.Marker;
import org.slf4j.MarkerFactory;
import wallmoor.config.ConfigException;
import wallmoor.config.LaunchConfig;
import wallmoor.config.OperatorConfig;
import wallmoor.core.MonotonicClock;
import wallmoor.decision.RoutingSettings;
import wallmoor.http.ConnectionAcceptor;
import wallmoor.json.Json;
import wallmoor.log.Logging;
import wallmoor.metrics.GathererMetrics;
import wallmoor.ogc.FeaturesFront;
import wallmoor.platform.PlatformFront;
import wallmoor.rules.RuleReader;
import wallmoor.sources.EndpointUpdater;
import wallmoor.upgrade.HeartbeatFiles;
import wallmoor.upgrade.ProcessPosition;
import wallmoor.upgrade.QuotaUser;
import wallmoor.upgrade.SharedQueryIds;

/** A gatherer with all components that its configuration enables; can be started, reloaded and shut down. */
public final class Service {
    /**
     * The maximum wait for the sources and the quota. A process that takes over has 6 s to become ready; its start
     * takes up to 1 s, and the rest is a reserve for a slow core.
     */
    private static final long MAX_START_WAIT_MILLIS = 4_000;

    /** Marks errors that an operator must fix; they are logged each time, however often similar ones were logged. */
    private static final Marker STATE = MarkerFactory.getMarker(Logging.STATE);

    private final Logger log = LoggerFactory.getLogger(Service.class);
    private final LaunchConfig launch;
    private final OperatorConfig operator;
    private final GathererMetrics metrics = new GathererMetrics();
    private final CalendarNodes nodes;
    private final EffectiveSettings effectiveSettings;
    private final PlatformFront platform;
    private final FeaturesFront features;
    private final EdgeService edge;
    private final GroupService group;
    private final RulesService rules;
    private final Operations operations;
    private final HeartbeatFiles heartbeats;
    /** Null unless another process may serve as this gatherer during an upgrade. */
    private final SharedQueryIds sharedIds;
    private volatile boolean ready;
    private volatile boolean shuttingDown;
    /** Guards {@link #ready}, which a start and a shutdown may set at the same time. */
    private final Object readyLock = new Object();

    /** Creates the service. Its fronts listen from now on and answer from {@link #start} on. */
    public Service(LaunchConfig launch, OperatorConfig operator) throws IOException, Json.Malformed {
        this(launch, operator, null,
                launch.isSocketInherited() || launch.admin() != null ? Operations.createSharedDirectory(launch) : null);
    }

    /**
     * Creates the service with a given acceptor and shared directory, as the archive training does.
     *
     * @param acceptor accepts the clients' connections; null to listen on the configured address
     * @param shared   the directory that this gatherer's processes share; null if there is none
     */
    Service(LaunchConfig launch, OperatorConfig operator, ConnectionAcceptor acceptor, Path shared)
            throws IOException, Json.Malformed {
        this.launch = launch;
        this.operator = operator;
        var clock = new MonotonicClock();
        nodes = CalendarNodes.of(launch, clock, operator, metrics);
        rules = operator.rules() == null
                ? null
                : new RulesService(operator.rules(), launch, this::onAgreedRuleChanged);
        RuleReader ruleReader = rules == null ? RuleReader.NONE : rules.reader();
        effectiveSettings = new EffectiveSettings(launch, nodes.gatherer().control()::updateSettings,
                this::updateFeaturesFront, () -> ruleReader.effectiveRule("settings"));
        Logger platformLog = LoggerFactory.getLogger(PlatformFront.class);
        platform = acceptor == null
                ? new PlatformFront(launch, effectiveSettings::launch, clock, nodes.gatherer(), nodes.workers(),
                        platformLog)
                : new PlatformFront(launch, effectiveSettings::launch, clock, nodes.gatherer(), nodes.workers(),
                        platformLog, acceptor);
        features = operator.ogc() == null ? null : createFeaturesFront(clock, ruleReader);
        edge = operator.edge() == null
                ? null
                : new EdgeService(operator.edge(), launch, effectiveSettings::launch, clock, nodes);
        group = operator.fleet() == null ? null : new GroupService(operator.fleet(), launch, position -> {
            nodes.gatherer().control().setFleetPosition(position.memberCount(), position.rank());
            if (features != null) {
                features.setFleetPosition(position.memberCount(), position.rank());
            }
        });
        operations = launch.admin() == null ? null
                : new Operations(launch, effectiveSettings::launch, clock, nodes.gatherer(), metrics, () -> ready,
                        shared);
        boolean mayBeUpgraded = shared != null && launch.isSocketInherited();
        sharedIds = mayBeUpgraded
                ? new SharedQueryIds(shared, clock, nodes.gatherer().control()::singleRunIds)
                : null;
        if (mayBeUpgraded) {
            nodes.gatherer().control().setIdClaims(sharedIds::claim);
        }
        heartbeats = mayBeUpgraded
                ? new HeartbeatFiles(shared, clock, new OpenQueryQuota(), this::onPositionChanged)
                : null;
    }

    /** The quota of queries and parts in flight, whose sum over all processes of the gatherer the settings limit. */
    private final class OpenQueryQuota implements QuotaUser {
        @Override
        public int limit() {
            return effectiveSettings.maxOpenOfAllProcesses();
        }

        @Override
        public int inUse() {
            return nodes.gatherer().openQueriesAndParts();
        }

        @Override
        public boolean isDraining() {
            return shuttingDown;
        }

        @Override
        public void setQuota(int quota, int limit) {
            effectiveSettings.onProcessQuotaChanged(quota, limit);
        }
    }

    /** Divides the gatherer's limits among its processes: during an upgrade an old and a new one serve together. */
    private void onPositionChanged(ProcessPosition position) {
        platform.setProcessCount(position.count());
        sharedIds.setProcessCount(position.count());
        if (group == null) {
            RoutingSettings settings = launch.settings();
            nodes.gatherer().control().setFleetPosition(settings.gatherers() * position.count(),
                    settings.position() + settings.gatherers() * position.index());
        }
    }

    private FeaturesFront createFeaturesFront(MonotonicClock clock, RuleReader ruleReader) throws IOException {
        return new FeaturesFront(operator.ogc(), operator.summaries(), ruleReader, launch, clock);
    }

    /** Begins to serve; if another process may be serving already, waits for the sources' first answers before. */
    public void start() {
        if (rules != null) { // rules agreed on before this start must lower the limits before the first query
            effectiveSettings.onAgreedRuleChanged();
        }
        nodes.start();
        if (operations != null) {
            operations.start();
            log.info("operators' address open: address={}", launch.admin());
        }
        if (heartbeats != null) {
            heartbeats.start();
        }
        // 2 s after reporting ready it must know everything that the list has published
        if (launch.isSocketInherited()) {
            awaitTakeOver();
        }
        platform.start();
        if (features != null) {
            features.start();
            log.info("features front open: address={}", operator.ogc().listen());
        }
        if (edge != null) {
            edge.start();
        }
        if (group != null) {
            group.start();
        }
        if (rules != null) {
            rules.start();
        }
        setReady(true);
        log.info("serving as {} on {}", launch.name(), launch.listen());
    }

    /** Sets whether clients are accepted; after a shutdown began they never are, however far the start had come. */
    private void setReady(boolean isReady) {
        synchronized (readyLock) {
            ready = isReady && !shuttingDown;
            platform.setReady(ready);
        }
    }

    /** Waits for the sources' first answers and for quota from an older process. */
    private void awaitTakeOver() {
        try {
            long startNanos = System.nanoTime();
            nodes.endpointUpdater().awaitSync(MAX_START_WAIT_MILLIS);
            if (heartbeats != null) { // an older process releases quota before this one accepts queries
                heartbeats.awaitCapacity(MAX_START_WAIT_MILLIS
                        - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns the component that holds the endpoints in use, with their sources and states. */
    public EndpointUpdater endpointUpdater() {
        return nodes.endpointUpdater();
    }

    /**
     * Reloads the configuration (SIGHUP). What takes effect are {@code settings} and {@code discovery} of the
     * configuration file, and log format, log levels, summaries and the settings of DNS queries of the operators' file.
     * An invalid or incomplete file changes nothing.
     */
    public synchronized void reload() {
        boolean isAccepted = false;
        try {
            LaunchConfig fileConfig = LaunchConfig.read(System.getenv());
            OperatorConfig operatorConfig = OperatorConfig.read(System.getenv(), fileConfig);
            LaunchConfig changed = effectiveSettings.launch().changedTo(fileConfig);
            // first, because it rejects contradictory settings, and then nothing else may have changed
            effectiveSettings.onConfigReloaded(changed);
            Logging.apply(operatorConfig.logging());
            nodes.reload(changed, operatorConfig);
            if (features != null) {
                features.reload(operatorConfig.summaries());
            }
            isAccepted = true;
            log.info(STATE, "configuration read again: classes={} discovery={}", changed.activeClassNames(),
                    changed.discovery());
            if (!fileConfig.settings().layout().equals(launch.settings().layout())) {
                log.warn("reload: the changed shard layout takes effect at the next start: key=settings.Domain");
            }
        } catch (ConfigException e) {
            log.error(STATE, "configuration reload rejected, previous configuration kept: key={} error={}", e.key(),
                    e.getMessage());
        } catch (RuntimeException e) {
            log.error(STATE, "configuration reload failed, previous configuration kept: error={}", e.toString());
        } finally {
            metrics.configReloaded(isAccepted);
        }
    }

    private void updateFeaturesFront(RoutingSettings next, List<String> classes, Set<Integer> removedClasses) {
        if (features != null) {
            features.updateSettings(next, classes, removedClasses);
        }
    }

    /** Applies a changed agreed rule, which may lower the limits of the configuration file. */
    private void onAgreedRuleChanged() {
        effectiveSettings.onAgreedRuleChanged();
    }

    /** Returns a new thread that runs {@link #shutDown}, for a shutdown hook. */
    public Thread shutdownThread() {
        return new Thread(this::shutDown, "leave");
    }

    /**
     * Shuts down gracefully (SIGTERM): reports not ready, and returns once all queries are answered. Clients continue
     * to use their connections, and the gatherer that takes over may not have started yet. Queries are therefore
     * accepted for as long as the last of them can still be answered before SIGKILL. Every front answers all queries
     * before then, also those that were open at SIGTERM and whose clients would wait longer.
     */
    public void shutDown() {
        shuttingDown = true;
        setReady(false);
        log.info("told to leave");
        if (group != null) {
            group.leave();
        }
        var schedule = ShutdownSchedule.of(effectiveSettings.launch().activeClasses());
        var otherFronts = new ArrayList<Thread>();
        if (features != null) { // its clients are asked to disconnect from the beginning
            otherFronts.add(new Thread(() -> shutDown(features::shutDown, schedule.withMinHandOver()), "leave-ogc"));
        }
        if (edge != null) {
            otherFronts.add(new Thread(() -> shutDown(edge::shutDown, schedule), "leave-edge"));
        }
        otherFronts.forEach(Thread::start);
        shutDown(platform::shutDown, schedule);
        try {
            for (Thread front : otherFronts) {
                front.join(); // a front's shutdown is bounded in time
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        int unanswered = nodes.gatherer().openQueries();
        if (unanswered > 0) {
            log.info("shut down with unanswered queries: count={}", unanswered);
        }
        if (rules != null) { // queries still open keep the rules under which they were accepted
            rules.close();
        }
        if (operations != null) {
            operations.close();
        }
        if (heartbeats != null) {
            heartbeats.close();
        }
        log.info("shutdown complete");
    }

    /** The graceful shutdown of a front. */
    private interface FrontShutdown {
        void shutDown(long handOverMillis, long finishMillis) throws IOException, InterruptedException;
    }

    private void shutDown(FrontShutdown front, ShutdownSchedule schedule) {
        try {
            front.shutDown(schedule.handOverMillis(), schedule.finishMillis());
        } catch (IOException | InterruptedException e) {
            log.warn("graceful shutdown of a front failed, its open queries may be unanswered: error={}", e.toString());
        }
    }
}

package wallmoor.service;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.Marker;
import org.slf4j.MarkerFactory;
import wallmoor.config.ConfigException;
import wallmoor.config.LaunchConfig;
import wallmoor.config.OperatorConfig;
import wallmoor.core.MonotonicClock;
import wallmoor.decision.QueryClass;
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

/** A gatherer with all that its configuration switches on: made, started, told of changes, and told to leave. */
public final class Service {
    /** SIGKILL comes so long and the longest time a client waits after SIGTERM, no sooner; more than 3 s count as 3. */
    private static final long HAND_OVER_MILLIS = 700;
    private static final long LONGEST_MILLIS = 3_000;
    /** Kept back of that time: for the end of the program itself, and for the answers to what comes last. */
    private static final long LAST_MILLIS = 150;
    private static final long LEAST_TO_ANSWER_MILLIS = 200;
    /**
     * A process that is to take over is given 6 s to be ready; it starts within one, and some is kept for a slow core.
     */
    private static final long LIST_MILLIS = 4_000;

    /** A fault that an operator has to mend is told each time, however often the like was told just before. */
    private static final Marker STATE = MarkerFactory.getMarker(Logging.STATE);

    private final Logger log = LoggerFactory.getLogger(Service.class);
    private final LaunchConfig launch;
    private final OperatorConfig operator;
    private final GathererMetrics figures = new GathererMetrics();
    private final CalendarNodes nodes;
    private final EffectiveSettings inForce;
    private final PlatformFront platform;
    private final FeaturesFront features;
    private final EdgeService edge;
    private final GroupService group;
    private final RulesService rules;
    private final Operations operations;
    private final HeartbeatFiles beats;
    private volatile boolean ready;
    private volatile boolean leaving;
    /** Guards whether it is ready, which a start and a leaving may both set. */
    private final Object readiness = new Object();

    /** Makes it; its fronts listen from now on, and answer from {@link #start} on. */
    public Service(LaunchConfig launch, OperatorConfig operator) throws IOException, Json.Malformed {
        this(launch, operator, null,
                launch.isSocketInherited() || launch.admin() != null ? Operations.shared(launch) : null);
    }

    /**
     * The same for a rehearsal.
     *
     * @param held   where clients come from; null for the configuration's address
     * @param shared the directory that this gatherer's processes share; null if there is none
     */
    Service(LaunchConfig launch, OperatorConfig operator, ConnectionAcceptor held, Path shared)
            throws IOException, Json.Malformed {
        this.launch = launch;
        this.operator = operator;
        var clock = new MonotonicClock();
        nodes = CalendarNodes.of(launch, clock, operator, figures);
        rules = operator.rules() == null ? null : new RulesService(operator.rules(), launch, this::agreed);
        RuleReader acting = rules == null ? RuleReader.NONE : rules.reader();
        inForce = new EffectiveSettings(launch, nodes.gatherer().control()::updateSettings,
                () -> acting.effectiveRule("settings"));
        Logger platformLog = LoggerFactory.getLogger(PlatformFront.class);
        platform = held == null
                ? new PlatformFront(launch, inForce::launch, clock, nodes.gatherer(), nodes.workers(), platformLog)
                : new PlatformFront(launch, inForce::launch, clock, nodes.gatherer(), nodes.workers(), platformLog,
                        held);
        features = operator.ogc() == null ? null : features(clock, acting);
        edge = operator.edge() == null ? null : new EdgeService(operator.edge(), launch, inForce::launch, clock, nodes);
        group = operator.fleet() == null ? null : new GroupService(operator.fleet(), launch, share -> {
            nodes.gatherer().control().setFleetPosition(share.memberCount(), share.rank());
            if (features != null) {
                features.setFleetPosition(share.memberCount(), share.rank());
            }
        });
        operations = launch.admin() == null ? null
                : new Operations(launch, inForce::launch, clock, nodes.gatherer(), figures, () -> ready, shared);
        beats = shared == null || !launch.isSocketInherited() ? null : new HeartbeatFiles(shared, clock, new Open(),
                this::together);
    }

    /** Queries and parts held at once, which the settings bound for all processes of this gatherer together. */
    private final class Open implements QuotaUser {
        @Override
        public int limit() {
            return inForce.maxOpenOfAllProcesses();
        }

        @Override
        public int inUse() {
            return nodes.gatherer().openQueriesAndParts();
        }

        @Override
        public boolean isDraining() {
            return leaving;
        }

        @Override
        public void setQuota(int most, int all) {
            inForce.onProcessQuotaChanged(most, all);
        }
    }

    /** Old and new process are one gatherer while both are there: each has its part of what that may hold and send. */
    private void together(ProcessPosition now) {
        platform.setProcessCount(now.count());
        if (group == null) {
            RoutingSettings s = launch.settings();
            nodes.gatherer().control().setFleetPosition(s.gatherers() * now.count(),
                    s.position() + s.gatherers() * now.index());
        }
    }

    private FeaturesFront features(MonotonicClock clock, RuleReader acting) throws IOException {
        return new FeaturesFront(operator.ogc(), operator.summaries(), acting, launch, clock);
    }

    /** Begins to serve; beside a process that serves already, once the list is heard. */
    public void start() {
        if (rules != null) { // what was agreed on before this start lowers the limits before the first query
            inForce.onAgreedRuleChanged();
        }
        nodes.start();
        if (operations != null) {
            operations.start();
            log.info("operators on {}", launch.admin());
        }
        if (beats != null) {
            beats.start();
        }
        if (launch.isSocketInherited()) { // from 2 s after it has said yes it is held to all that the list has told
            await();
        }
        platform.start();
        if (features != null) {
            features.start();
            log.info("features on {}", operator.ogc().listen());
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
        ready(true);
        log.info("serving as {} on {}", launch.name(), launch.listen());
    }

    /** Whether it takes clients: once it was told to leave it never does, however far its start had come. */
    private void ready(boolean yes) {
        synchronized (readiness) {
            ready = yes && !leaving;
            platform.setReady(ready);
        }
    }

    private void await() {
        try {
            long begun = System.nanoTime();
            nodes.membership().awaitSync(LIST_MILLIS);
            if (beats != null) { // an older process makes room before this one takes anything
                beats.awaitCapacity(LIST_MILLIS - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begun));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Who serves which nodes now, and why. */
    public EndpointUpdater membership() {
        return nodes.membership();
    }

    /**
     * SIGHUP: the configuration is read and checked again, and its {@code settings} and {@code discovery} are what
     * holds from now on; of the operators' file the log's form and levels, and how DNS is asked. A faulty or incomplete
     * file changes nothing.
     */
    public synchronized void reload() {
        boolean taken = false;
        try {
            LaunchConfig read = LaunchConfig.read(System.getenv());
            OperatorConfig file = OperatorConfig.read(System.getenv(), read);
            LaunchConfig changed = inForce.launch().changedTo(read);
            // rejects contradictory settings: first, so that nothing else has changed then
            inForce.onConfigReloaded(changed);
            Logging.apply(file.logging());
            nodes.reload(changed, file);
            if (features != null) {
                features.reload(file.summaries());
            }
            taken = true;
            log.info(STATE, "configuration read again, classes are {}, discovery is {}", changed.activeClassNames(),
                    changed.discovery());
            if (!read.settings().layout().equals(launch.settings().layout())) {
                log.warn("settings.Domain: another layout of shards holds from the next start");
            }
        } catch (ConfigException e) {
            log.error(STATE, "configuration kept as it was: {}: {}", e.key(), e.getMessage());
        } catch (RuntimeException e) {
            log.error(STATE, "configuration kept as it was: {}", e.toString());
        } finally {
            figures.configReloaded(taken);
        }
    }

    /** Something else is agreed on: it lowers the limits of the file that is in force. */
    private void agreed() {
        inForce.onAgreedRuleChanged();
    }

    /** A thread that runs {@link #leave}, for the program's end. */
    public Thread leaving() {
        return new Thread(this::leave, "leave");
    }

    /**
     * SIGTERM: not ready, and out once all is answered. Clients go on using the connections they have, and the
     * gatherer that is to take over may itself not be there yet: so these are served for as long as what comes last
     * can still be answered before SIGKILL.
     */
    public void leave() {
        leaving = true;
        ready(false);
        log.info("told to leave");
        if (group != null) {
            group.leave();
        }
        List<QueryClass> classes = inForce.launch().activeClasses();
        long longest = classes.stream().mapToLong(QueryClass::clientTimeout).max().orElse(0) / 1000;
        long aim = classes.stream().mapToLong(QueryClass::latencyObjective).max().orElse(0) / 1000;
        long end = Math.min(LONGEST_MILLIS, longest) + HAND_OVER_MILLIS - LAST_MILLIS;
        long handOver = Math.max(HAND_OVER_MILLIS, end - Math.max(LEAST_TO_ANSWER_MILLIS, aim / 2));
        var second = new Thread(() -> {
            if (features != null) {
                leave(features::shutDown, HAND_OVER_MILLIS, LONGEST_MILLIS + HAND_OVER_MILLIS);
            }
        }, "leave-ogc");
        second.start();
        var third = new Thread(() -> {
            if (edge != null) {
                leave(edge::leave, handOver, end - handOver);
            }
        }, "leave-edge");
        third.start();
        leave(platform::shutDown, handOver, end - handOver);
        try {
            second.join(LONGEST_MILLIS + 2 * HAND_OVER_MILLIS);
            third.join(LONGEST_MILLIS + 2 * HAND_OVER_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (rules != null) { // queries that end meanwhile go by what they were opened under
            rules.close();
        }
        if (operations != null) {
            operations.close();
        }
        if (beats != null) {
            beats.close();
        }
        log.info("left");
    }

    /** A front's way out. */
    private interface Leaving {
        void leave(long handOverMillis, long finishMillis) throws IOException, InterruptedException;
    }

    private void leave(Leaving front, long handOverMillis, long finishMillis) {
        try {
            front.leave(handOverMillis, finishMillis);
        } catch (IOException | InterruptedException e) {
            log.warn("left in haste: {}", e.toString());
        }
    }
}

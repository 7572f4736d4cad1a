package wallmoor.consensus;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeoutException;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wallmoor.config.RulesConfig;
import wallmoor.rules.CorruptDataException;
import wallmoor.rules.DocumentSchemas;
import wallmoor.rules.EffectiveRule;
import wallmoor.rules.LeaseHolder;
import wallmoor.rules.LeaseMessage;
import wallmoor.rules.LeaseTiming;
import wallmoor.rules.RuleDocument;
import wallmoor.rules.RuleProposal;
import wallmoor.rules.RuleReader;

/**
 * The consensus on rules in one gatherer: a lease holder and, if the configuration lists this gatherer as a voter, a
 * voting member of the Raft group. The control thread owns this state and the transport thread owns the connections;
 * traffic reads an immutable snapshot and waits for neither.
 */
public final class ConsensusService implements RuleReader, AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(ConsensusService.class);
    private static final long MAX_TICK_MILLIS = 20;
    private static final int TICKS_PER_TERM = 100;
    private static final long CLOSE_MILLIS = 1_000;
    private static final long MICROS_PER_MILLI = 1_000;
    /** The maximum rate difference between a gatherer's monotonic clock and true time, as a fraction. */
    private static final double CLOCK_DRIFT = 0.01;

    private final String name;
    private final RulesConfig config;
    private final List<String> voters;
    private final ControlThread controlThread = new ControlThread();
    /** Null if nothing is stored. */
    private final DurableDirectory directory;
    private final TcpTransport transport;
    private final PacketQueue packets;
    private final LeaseHolderConnections holderConnections;
    /** Null if this gatherer does not vote. */
    private final VotingMember votingMember;
    private final LeaseHolder leaseHolder;
    private final LeaseSession session;
    private final LeaderRequests requests;
    private final KnownVersionsFile knownVersions;
    private final StatusPublisher publisher;

    /**
     * The history of a document as reported by the leader.
     *
     * @param activeVersion the number of the active version
     * @param versions      the versions that the voting members retain
     * @param rejected      messages about recently rejected proposals
     */
    public record RuleHistory(long activeVersion, List<RuleDocument> versions, List<String> rejected) {}

    /**
     * The outcome of a proposal.
     *
     * @param version   the version number it was assigned
     * @param rejection the reason for its rejection; empty if the version is active
     */
    public record ProposalOutcome(long version, String rejection) {}

    /**
     * Loads the durable state and opens the listening socket; {@link #start} begins work.
     *
     * @throws StoreInUseException if this gatherer votes and another process owns the directory
     * @throws IOException if listening fails or the directory can't be used
     */
    public ConsensusService(RulesConfig config, String name, long seed, RuleChangeListener listener)
            throws IOException {
        this(config, name, seed, listener, System::currentTimeMillis);
    }

    /** Creates a service with the given wall clock in milliseconds. The wall clock only determines incarnations. */
    ConsensusService(RulesConfig config, String name, long seed, RuleChangeListener listener, LongSupplier wallClock)
            throws IOException {
        this.name = name;
        this.config = config;
        var timing = new LeaseTiming(config.term() * MICROS_PER_MILLI, CLOCK_DRIFT);
        voters = List.copyOf(config.voters().keySet());
        long wallMicros = wallClock.getAsLong() * MICROS_PER_MILLI;
        directory = config.directory() == null ? null : new DurableDirectory(config.directory());
        DurableStore store = voters.contains(name) ? openStore(wallMicros) : null;
        long incarnation = store == null ? wallMicros : store.incarnation();
        String group = String.join(",", voters) + " term " + config.term() + " ms";
        transport = new TcpTransport(new Packet.Handshake(group, name, incarnation),
                store == null ? null : config.listen(), config.voters());
        holderConnections = new LeaseHolderConnections(name, transport, this::deliverLater);
        votingMember = store == null ? null
                : new VotingMember(name, voters, timing, store, holderConnections, controlThread, seed);
        knownVersions = new KnownVersionsFile(directory);
        leaseHolder = new LeaseHolder(name, incarnation, timing, DocumentSchemas.all(), knownVersions.load());
        knownVersions.markSaved(leaseHolder.knownVersions());
        session = new LeaseSession(voters, leaseHolder, this::sendLeaseRequest, seed);
        requests = new LeaderRequests(controlThread, this::sendClientRequest);
        publisher = new StatusPublisher(leaseHolder, listener);
        packets = new PacketQueue(controlThread, new Dispatcher());
    }

    private DurableStore openStore(long wallMicros) throws IOException {
        try {
            return new DurableStore(directory, name, voters, wallMicros);
        } catch (CorruptDataException e) {
            LOG.warn("rules: voting disabled, durable state unreadable: directory={} error={}", directory,
                    e.getMessage());
            return null;
        }
    }

    /** Starts requesting leases and, on a voting member, voting. */
    public void start() {
        transport.start(packets);
        long tickMillis = Math.min(MAX_TICK_MILLIS, config.term() / TICKS_PER_TERM);
        controlThread.runPeriodically(tickMillis, this::tick);
    }

    @Override
    public EffectiveRule effectiveRule(String document) {
        return publisher.snapshot().effectiveRule(nowMicros(), document);
    }

    /** Returns the most recently published status without waiting. */
    public ConsensusStatus status() {
        return publisher.status();
    }

    /** Returns this process's monotonic clock in microseconds, which also measures leases. */
    public static long nowMicros() {
        return System.nanoTime() / MICROS_PER_MILLI;
    }

    /**
     * Returns the lease term in milliseconds: the longest time for which two gatherers may act on contradicting
     * versions.
     */
    public long termMillis() {
        return config.term();
    }

    /** Returns the connection counters and the number of packets dropped by the receive queue, for operators. */
    public String counters() {
        return transport.counters() + " overflow " + packets.overflow();
    }

    /**
     * Reads a document's history from the leader.
     *
     * @throws TimeoutException if no response arrives within {@code timeoutMillis}
     */
    public RuleHistory history(String document, long timeoutMillis) throws TimeoutException, InterruptedException {
        Packet.ClientResponse response = requests.call(document, null, timeoutMillis);
        return new RuleHistory(response.activeVersion(), response.versions(), response.rejected());
    }

    /**
     * Proposes a version and waits until it is active or rejected.
     *
     * @throws TimeoutException if neither is known after {@code timeoutMillis}
     */
    public ProposalOutcome propose(RuleProposal proposal, long timeoutMillis)
            throws TimeoutException, InterruptedException {
        Packet.ClientResponse response = requests.call(proposal.name(), proposal, timeoutMillis);
        return new ProposalOutcome(response.version(), response.reason());
    }

    /** Stops voting and requesting leases, and closes all connections. */
    @Override
    public void close() {
        controlThread.run(() -> {
            if (votingMember != null) {
                votingMember.close();
            }
        });
        try {
            boolean hasEnded = controlThread.shutDown(CLOSE_MILLIS);
            transport.close();
            if (hasEnded && directory != null) {
                directory.close(); // a task that still runs may write: then the lock is held until the process ends
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            // close() is best effort: the transport thread ends either way
        }
    }

    // ---- control thread -----------------------------------------------------------------------------------

    private void tick() throws IOException {
        long now = nowMicros();
        if (votingMember != null) {
            votingMember.tick(now);
        }
        session.tick(now);
        requests.tick(now);
        publish(now);
    }

    private void publish(long now) {
        String state = votingMember == null ? "" : votingMember.describeState();
        String leader = votingMember == null ? "" : votingMember.leader();
        publisher.publish(now, leader.isEmpty() ? session.presumedLeader() : leader, state);
    }

    private void deliverLater(LeaseMessage message) {
        controlThread.run(() -> onLeaseMessage(message));
    }

    private void onLeaseMessage(LeaseMessage message) {
        long now = nowMicros();
        LeaseMessage.LeaseRequest next = session.onMessage(now, message);
        publish(now); // before the request, which confirms to the leader that traffic already uses this state
        if (next != null) {
            session.send(next);
        }
        knownVersions.save(leaseHolder.knownVersions());
    }

    private void sendLeaseRequest(String voter, LeaseMessage.LeaseRequest request) {
        if (!voter.equals(name)) {
            transport.send(voter, new Packet.LeaseEnvelope(request));
        } else if (votingMember != null && !votingMember.onLeaseRequest(request)) {
            session.redirect(votingMember.leader());
        }
    }

    private void sendClientRequest(Packet.ClientRequest request) {
        String leader = session.presumedLeader();
        if (!leader.equals(name)) {
            transport.send(leader, request);
        } else if (votingMember != null) {
            votingMember.onClientRequest(request, response -> controlThread.run(() -> requests.onResponse(response)));
        }
    }

    /**
     * Routes each packet to the component that handles it; packets that the sender is not allowed to send are ignored.
     */
    private final class Dispatcher implements PacketHandler {
        @Override
        public void handle(FramedConnection from, Packet packet) throws CorruptDataException {
            String sender = from.peer().name();
            boolean fromVoter = voters.contains(sender);
            if (packet instanceof Packet.LeaseEnvelope envelope) {
                handleLease(from, sender, fromVoter, envelope.message());
            } else if (packet instanceof Packet.NotLeader redirect) {
                if (fromVoter) {
                    session.redirect(redirect.leader());
                }
            } else if (packet instanceof Packet.ClientResponse response) {
                requests.onResponse(response);
            } else if (votingMember != null) {
                handleAsVoter(from, sender, fromVoter, packet);
            }
        }

        private void handleLease(FramedConnection from, String sender, boolean fromVoter, LeaseMessage message) {
            if (!(message instanceof LeaseMessage.LeaseRequest request)) {
                if (fromVoter) {
                    onLeaseMessage(message);
                }
            } else if (votingMember != null && request.holder().equals(sender)) {
                holderConnections.put(sender, from);
                if (!votingMember.onLeaseRequest(request)) {
                    transport.send(from, new Packet.NotLeader(votingMember.leader()));
                }
            }
        }

        private void handleAsVoter(FramedConnection from, String sender, boolean fromVoter, Packet packet)
                throws CorruptDataException {
            if (packet instanceof Packet.ClientRequest request) {
                if (!votingMember.onClientRequest(request, response -> transport.send(from, response))) {
                    transport.send(from, new Packet.NotLeader(votingMember.leader()));
                }
            } else if (fromVoter) {
                votingMember.onPacket(sender, packet);
            }
        }

        @Override
        public void disconnected(FramedConnection connection) {
            holderConnections.remove(connection);
        }
    }
}

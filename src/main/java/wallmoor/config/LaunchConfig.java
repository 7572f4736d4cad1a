package wallmoor.config;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import wallmoor.decision.QueryClass;
import wallmoor.decision.RoutingSettings;
import wallmoor.json.Json;

/**
 * The start-up configuration of a gatherer: the JSON file that {@code ROUTER_CONFIG} names, with environment variables
 * for what the file lacks. This class reads and checks all of it, and supplies the defaults.
 *
 * @param discovery            the address of discovery
 * @param seed                 the seed of the random numbers
 * @param known                the last known list of workers, in discovery's format; null where the file has none
 * @param zones                the names of the zones by index
 * @param kinds                the names of the machine kinds by index
 * @param classes              the names of the classes by index
 * @param sockets              the maximum number of descriptors
 * @param streamsPerConnection the maximum number of concurrent streams of a worker connection
 * @param connIdleMillis       the idle time after which a worker connection is closed
 * @param admin                the address of the operators' endpoint; null where there is none
 * @param isSocketInherited    whether the platform passes the clients' listening socket as descriptor 0; it is
 *                             not bound here then
 * @param removedClasses       the indexes of classes that an earlier configuration had; they accept no query
 * @param keys                 the paths of the keys that the file has
 * @param isListPushed         whether the settings say that discovery sends lists on its own: changes count as
 *                             announced even while no watch is open
 */
public record LaunchConfig(String name, InetSocketAddress listen, InetSocketAddress discovery, long seed,
        RoutingSettings settings, Json.Obj known, List<String> zones, List<String> kinds, List<String> classes,
        int sockets, int memoryMb, int streamsPerConnection, long connIdleMillis, int connectMillis,
        InetSocketAddress admin, boolean isSocketInherited, Set<Integer> removedClasses, Set<String> keys,
        boolean isListPushed) {
    private static final int DEFAULT_SOCKETS = 1024;
    private static final int MIN_SOCKETS = 64;
    private static final int DEFAULT_MEMORY_MB = 192;
    private static final int MIN_MEMORY_MB = 32;
    /** The memory that the program uses before its first connection, in megabytes. */
    private static final int OWN_MEMORY_MB = 72;
    /** The number of client connections that fit a megabyte, each with the thread and the buffers of an active one. */
    private static final int CLIENTS_PER_MB = 3;
    private static final int MIN_CLIENTS = 32;
    /** The number of open connections that fit a megabyte, where most hold no more than a small part of a request. */
    private static final int OPEN_CLIENTS_PER_MB = 7;
    /** Clients get their share of this many descriptors, whatever else needs some; with fewer there is no guarantee. */
    private static final int MIN_SHARED_DESCRIPTORS = 64;
    /** A watch that is closing, its successor, and a connection that waits to be accepted at each listening address. */
    private static final int DISCOVERY_DESCRIPTORS = 4;
    private static final int MAX_ADMIN_CONNECTIONS = 32;
    private static final int SOCKETS_PER_ADMIN_CONNECTION = 16;
    /** The longest time that a client waits: a day, in microseconds. */
    private static final double MAX_WAIT_MICROS = 86_400e6;
    private static final String DIGITS = "0123456789";

    /**
     * Returns the maximum number of client connections on which requests are served: the memory for their threads and
     * buffers allows no more.
     */
    public int maxClientConnections() {
        int byMemory = Math.max(MIN_CLIENTS, (memoryMb - OWN_MEMORY_MB) * CLIENTS_PER_MB);
        return Math.min(maxOpenClientConnections(), byMemory);
    }

    /**
     * Returns the maximum number of open client connections. Of eight descriptors, five are for clients, two for
     * workers, and one for discovery and the program's own files; where these need more, clients get what is left.
     * Well-behaved clients use a third of them for requests; the rest absorbs clients that misbehave. Little memory
     * allows fewer.
     */
    public int maxOpenClientConnections() {
        int reserved = maxWorkerConnections() + maxAdminConnections() + DISCOVERY_DESCRIPTORS
                + DescriptorReserve.needed();
        int byDescriptors = Math.max(Math.min(MIN_SHARED_DESCRIPTORS, sockets) * 5 / 8, sockets - reserved);
        return Math.min(Math.min(sockets * 5 / 8, byDescriptors), memoryMb * OPEN_CLIENTS_PER_MB);
    }

    /** Returns the maximum number of admin connections; only a few operators and a metrics collector use them. */
    public int maxAdminConnections() {
        return Math.min(MAX_ADMIN_CONNECTIONS, sockets / SOCKETS_PER_ADMIN_CONNECTION);
    }

    /**
     * Returns the maximum number of worker connections. Where two processes may run as this gatherer during a handover,
     * both stay within the limit together.
     */
    public int maxWorkerConnections() {
        return sockets / (isSocketInherited ? 6 : 4);
    }

    /** Returns the active classes. */
    public List<QueryClass> activeClasses() {
        return activeIndexes().mapToObj(settings.classes()::get).toList();
    }

    /** Reads the configuration file that the environment names. */
    public static LaunchConfig read(Map<String, String> env) {
        String file = env.get("ROUTER_CONFIG");
        if (file == null || file.isEmpty()) {
            throw new ConfigException("ROUTER_CONFIG", "ROUTER_CONFIG is not set");
        }
        byte[] text;
        try {
            text = Files.readAllBytes(Path.of(file));
        } catch (IOException | java.nio.file.InvalidPathException e) {
            throw new ConfigException("ROUTER_CONFIG", "ROUTER_CONFIG cannot be read: " + e.getMessage());
        }
        try {
            return of(Json.object(text, 0, text.length), env);
        } catch (Json.Malformed e) {
            throw new ConfigException("ROUTER_CONFIG", "ROUTER_CONFIG is malformed: " + e.getMessage());
        }
    }

    /** Creates the configuration from the file's content. */
    private static LaunchConfig of(Json.Obj json, Map<String, String> env) {
        Json.Obj nested = object(json, "settings");
        Map<String, String> flat = SettingsFlattener.of(nested);
        RoutingSettings settings;
        boolean isListPushed;
        try {
            RoutingSettings asWritten = new SettingsReader(flat).settings();
            isListPushed = !asWritten.watchOnRequest();
            flat.put("Discovery", "subscribe"); // over sockets a list arrives only on an open watch
            if (asWritten.limits().maxRetryAfter() <= 0) {
                flat.put("Limits.MaxRetryAfter", "2000000");
            }
            checkPositive(flat, asWritten.classes().size());
            flat.put("Limits.RetryAfter", "true"); // HTTP can always carry it, and it tells a client when to retry
            settings = new SettingsReader(flat).settings();
            wallmoor.decision.SettingsValidator.check(settings);
        } catch (ConfigException e) {
            throw new ConfigException("settings." + e.key(), "settings " + e.getMessage());
        } catch (IllegalArgumentException e) {
            throw new ConfigException("settings", e.getMessage());
        }
        Json.Obj limits = json.get("limits") instanceof Json.Obj o ? o : new Json.Obj();
        int sockets = (int) bounded("limits.sockets", limits.number("sockets", DEFAULT_SOCKETS), MIN_SOCKETS);
        int memory = (int) bounded("limits.memory_mb", limits.number("memory_mb", DEFAULT_MEMORY_MB), MIN_MEMORY_MB);
        int streams = (int) bounded("settings.Limits.StreamsPerConn", decimal(flat, "Limits.StreamsPerConn", 100), 1);
        long idle = (long) bounded("settings.Limits.ConnIdle", decimal(flat, "Limits.ConnIdle", 15e6), 1) / 1000;
        long connect = settings.limits().connectTimeout() / 1000;
        String admin = textOr(json, "admin_addr", env.get("ROUTER_ADMIN_ADDR"));
        boolean isSocketInherited = isSocketInherited(env);
        // During a handover two processes run as one gatherer and can't coordinate in time: each takes half
        // of the minimum retry budget.
        if (isSocketInherited) {
            settings = settings.withRetryBudgetMinimum(settings.rules().retryBudgetMinimum() / 2);
        }
        return new LaunchConfig(textOr(json, "name", env.getOrDefault("ROUTER_NAME", "gatherer")),
                address("listen", textOr(json, "listen", env.get("ROUTER_LISTEN"))),
                address("discovery", textOr(json, "discovery", env.get("ROUTER_DISCOVERY"))),
                seed(json.get("seed")), settings, json.get("known") instanceof Json.Obj o ? o : null,
                names(nested, "Dcs"), names(nested, "Kinds"), classNames(nested), sockets, memory, streams, idle,
                connect > 0 ? (int) connect : 1000, admin == null ? null : address("admin_addr", admin),
                isSocketInherited, Set.of(), ConfigurationKeys.of(json), isListPushed);
    }

    /** Returns the index of an active class, or -1. */
    public int classIndex(String name) {
        return classIndexes().of(name);
    }

    /** Returns the index of a class that is active, or that was before a reload removed it; -1 for any other name. */
    public int knownClassIndex(String name) {
        return classIndexes().ofAny(name);
    }

    /** Returns after how many microseconds a client of this class gives up; {@code index} as of {@link #classIndex}. */
    public long clientTimeout(int index) {
        return settings.classes().get(index).clientTimeout();
    }

    /** Returns whether queries of this class carry an idempotency key; {@code index} as of {@link #classIndex}. */
    public boolean usesIdempotencyKey(int index) {
        return settings.classes().get(index).usesIdempotencyKey();
    }

    private ClassIndexes classIndexes() {
        return new ClassIndexes(classes, settings.classes(), removedClasses);
    }

    private IntStream activeIndexes() {
        return IntStream.range(0, classes.size()).filter(index -> !removedClasses.contains(index));
    }

    /** Returns the names of the active classes. */
    public List<String> activeClassNames() {
        return activeIndexes().mapToObj(classes::get).toList();
    }

    /**
     * Returns this configuration with the settings and the discovery address of a reloaded file. Its classes keep the
     * indexes that they have here. The layout of the shards stays the same: a changed one takes effect at the next
     * start.
     *
     * @throws ConfigException if the reloaded file lacks a key that this one has
     */
    public LaunchConfig changedTo(LaunchConfig reloaded) {
        String missing = ConfigurationKeys.missing(reloaded.keys, keys);
        if (missing != null) {
            throw new ConfigException(missing, missing + " is missing, but the active configuration has it");
        }
        ClassIndexes indexes = classIndexes().changedTo(reloaded.classes, reloaded.settings.classes());
        return new LaunchConfig(name, listen, reloaded.discovery, seed,
                reloaded.settings.withClasses(indexes.classes()).withLayout(settings.layout()), known, zones,
                kinds, indexes.names(), sockets, memoryMb, streamsPerConnection, connIdleMillis, connectMillis, admin,
                isSocketInherited, indexes.removed(), reloaded.keys, reloaded.isListPushed);
    }

    /**
     * Returns this configuration for a rehearsal: at addresses that are not the platform's, with other known nodes.
     *
     * @param clientListen       the address for clients
     * @param discoveryListen    the address of discovery
     * @param adminListen        the operators' address
     * @param nodes              the known nodes, in discovery's format
     * @param hasInheritedSocket whether another process holds the listening socket
     */
    public LaunchConfig withAddresses(InetSocketAddress clientListen, InetSocketAddress discoveryListen,
            InetSocketAddress adminListen, Json.Obj nodes, boolean hasInheritedSocket) {
        return new LaunchConfig(name, clientListen, discoveryListen, seed, settings, nodes, zones, kinds, classes,
                sockets, memoryMb, streamsPerConnection, connIdleMillis, connectMillis, adminListen, hasInheritedSocket,
                removedClasses, keys, isListPushed);
    }

    /** Returns whether the platform passes the listening socket; it can do so only as descriptor 0. */
    private static boolean isSocketInherited(Map<String, String> env) {
        String fd = env.getOrDefault("ROUTER_INHERITED_FD", "");
        if (!fd.isEmpty() && !fd.equals("0")) {
            throw new ConfigException("ROUTER_INHERITED_FD", "ROUTER_INHERITED_FD must be 0, the only descriptor that"
                    + " can be inherited, or unset: " + fd);
        }
        return !fd.isEmpty();
    }

    /** Parses an address of the form HOST:PORT. No name is resolved, as the platform has no DNS. */
    public static InetSocketAddress address(String key, String text) {
        if (text == null) {
            throw new ConfigException(key, key + " is absent");
        }
        int colon = text.lastIndexOf(':');
        if (colon < 1 || text.length() > colon + 6 || !hasOnly(DIGITS, text, colon + 1, text.length())
                || !isHost(text.substring(0, colon))) {
            throw new ConfigException(key, key + " is not ADDRESS:PORT: " + text);
        }
        int port = Integer.parseInt(text.substring(colon + 1));
        if (port > 65535) {
            throw new ConfigException(key, key + " has a port above 65535: " + text);
        }
        return new InetSocketAddress(text.substring(0, colon), port);
    }

    /** Returns whether a host is an IP address (IPv6 in brackets) or localhost. A regex would slow down each start. */
    private static boolean isHost(String host) {
        return host.equals("localhost") || hasOnly(DIGITS + ".", host, 0, host.length())
                || (host.startsWith("[") && host.endsWith("]")
                        && hasOnly(DIGITS + "abcdefABCDEF:.", host, 1, host.length() - 1));
    }

    /** Returns whether the text from one index up to another is not empty and has only these characters. */
    private static boolean hasOnly(String characters, String text, int from, int to) {
        for (int i = from; i < to; i++) {
            if (characters.indexOf(text.charAt(i)) < 0) {
                return false;
            }
        }
        return from < to;
    }

    private static Json.Obj object(Json.Obj parent, String key) {
        if (parent.get(key) instanceof Json.Obj o) {
            return o;
        }
        throw new ConfigException(key, key + " is absent or not an object");
    }

    private static String textOr(Json.Obj json, String key, String defaultValue) {
        String text = json.text(key);
        return text != null ? text : defaultValue;
    }

    private static double bounded(String key, double value, double min) {
        if (!(value >= min && value <= 1e15)) {
            throw new ConfigException(key, key + " must be at least " + (long) min + ": " + value);
        }
        return value;
    }

    /** Rejects times and counts below 1 by their keys in the file; the decision module would report its own names. */
    private static void checkPositive(Map<String, String> flat, int classes) {
        checkPositive(flat, "Limits.MaxAttempts", Integer.MAX_VALUE);
        checkPositive(flat, "Limits.MaxOpen", Integer.MAX_VALUE);
        for (int i = 0; i < classes; i++) {
            checkPositive(flat, "Classes." + i + ".Aim", MAX_WAIT_MICROS);
            checkPositive(flat, "Classes." + i + ".GiveUp", MAX_WAIT_MICROS);
        }
    }

    private static void checkPositive(Map<String, String> flat, String path, double max) {
        String text = flat.getOrDefault(path, "-");
        double value = text.isEmpty() || text.equals("-") ? 1 : decimal(flat, path, 1); // absence is checked elsewhere
        if (!(value >= 1 && value <= max)) {
            throw new ConfigException(path,
                    "must have a number from 1 to " + (long) max + " at " + path + ": " + text);
        }
    }

    private static double decimal(Map<String, String> flat, String path, double defaultValue) {
        try {
            return flat.containsKey(path) ? Double.parseDouble(flat.get(path)) : defaultValue;
        } catch (NumberFormatException e) {
            throw new ConfigException("settings." + path, "settings." + path + " is not a number: " + flat.get(path));
        }
    }

    private static long seed(Object seed) {
        try {
            return seed instanceof Number n ? n.longValue()
                    : seed instanceof String s ? Long.parseUnsignedLong(s, 16) : System.nanoTime();
        } catch (NumberFormatException e) {
            throw new ConfigException("seed", "seed is not a hexadecimal number: " + seed);
        }
    }

    private static List<String> names(Json.Obj nested, String key) {
        var names = new ArrayList<String>();
        if (nested.list(key) != null) {
            nested.list(key).forEach(n -> names.add(String.valueOf(n)));
        }
        return List.copyOf(names);
    }

    private static List<String> classNames(Json.Obj nested) {
        var names = new ArrayList<String>();
        List<?> classes = nested.list("Classes");
        for (int i = 0; classes != null && i < classes.size(); i++) {
            if (!(classes.get(i) instanceof Json.Obj c) || c.text("Name") == null) {
                throw new ConfigException("Classes." + i + ".Name", "settings.Classes." + i + ".Name is absent");
            }
            names.add(c.text("Name"));
        }
        return List.copyOf(names);
    }
}

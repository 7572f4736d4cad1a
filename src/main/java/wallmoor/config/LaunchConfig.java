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
 * What a real gatherer is started with: the JSON file that {@code ROUTER_CONFIG} names, with the environment's own
 * variables where the file lacks something. All of it is read, checked and given defaults here.
 *
 * @param known    the list of workers as last held, in discovery's form
 * @param zones    the zones' names, by index
 * @param kinds    the machine kinds' names, by index
 * @param classes  the classes' names, by place
 * @param admin    where operators call; null where they don't
 * @param removedClasses places of classes that were in force once; they take no query
 * @param keys     the keys that the file has
 * @param isSocketInherited whether the clients' listening socket is descriptor 0, held by the platform, and never bound
 *                 here
 * @param isListPushed   the settings say that lists come by themselves: changes count as told with no watch open
 */
public record LaunchConfig(String name, InetSocketAddress listen, InetSocketAddress discovery, long seed,
        RoutingSettings settings,
        Json.Obj known, List<String> zones, List<String> kinds, List<String> classes, int sockets, int memoryMb,
        int streamsPerConnection, long connIdleMillis, int connectMillis, InetSocketAddress admin,
        boolean isSocketInherited, Set<Integer> removedClasses, Set<String> keys, boolean isListPushed) {
    private static final int DEFAULT_SOCKETS = 1024;
    private static final int FEWEST_SOCKETS = 64;
    private static final int DEFAULT_MEMORY = 192;
    private static final int FEWEST_MEMORY = 32;
    /** What the program holds before its first connection (megabytes). */
    private static final int OWN_MEMORY = 72;
    /** Client connections that fit a megabyte, with the thread and the buffers that one at work has. */
    private static final int CLIENTS_PER_MB = 3;
    private static final int FEWEST_CLIENTS = 32;
    /** Whatever else needs descriptors, clients get their share of so many: with fewer nothing can be promised. */
    private static final int FEW_DESCRIPTORS = 64;
    /** A watch that is being closed, the next one, and for each address a connection that waits for room. */
    private static final int FOR_DISCOVERY = 4;
    private static final int MOST_CALLERS = 32;
    private static final int CALLERS_SHARE = 16;
    /** No client waits longer than a day. */
    private static final double MOST_MICROS = 86_400e6;
    private static final String DIGITS = "0123456789";

    /**
     * Client connections at most. Of the descriptors five in eight are for clients, two for workers and one is kept
     * for discovery and the program's own files; where these need more than that, clients get what is left. Honest
     * clients hold a third for requests; the rest is for rude ones.
     */
    public int maxClientConnections() {
        int kept = maxWorkerConnections() + maxAdminConnections() + FOR_DISCOVERY + DescriptorReserve.needed();
        int left = Math.max(Math.min(FEW_DESCRIPTORS, sockets) * 5 / 8, sockets - kept);
        int byMemory = Math.max(FEWEST_CLIENTS, (memoryMb - OWN_MEMORY) * CLIENTS_PER_MB);
        return Math.min(Math.min(sockets * 5 / 8, left), byMemory);
    }

    /** Connections to the operators' address at most: few people and a collector of figures ask. */
    public int maxAdminConnections() {
        return Math.min(MOST_CALLERS, sockets / CALLERS_SHARE);
    }

    /** Connections to workers at most; where two processes may be this gatherer for a while, both fit the limit. */
    public int maxWorkerConnections() {
        return sockets / (isSocketInherited ? 6 : 4);
    }

    /** The classes in force. */
    public List<QueryClass> activeClasses() {
        return placesInForce().mapToObj(settings.classes()::get).toList();
    }

    /** Reads the configuration that the environment names. */
    public static LaunchConfig read(Map<String, String> env) {
        String file = env.get("ROUTER_CONFIG");
        if (file == null || file.isEmpty()) {
            throw new ConfigException("ROUTER_CONFIG", "ROUTER_CONFIG is not set");
        }
        byte[] text;
        try {
            text = Files.readAllBytes(Path.of(file));
        } catch (IOException | java.nio.file.InvalidPathException e) {
            throw new ConfigException("ROUTER_CONFIG", "ROUTER_CONFIG can't be read: " + e.getMessage());
        }
        try {
            return of(Json.object(text, 0, text.length), env);
        } catch (Json.Malformed e) {
            throw new ConfigException("ROUTER_CONFIG", "ROUTER_CONFIG is malformed: " + e.getMessage());
        }
    }

    private static LaunchConfig of(Json.Obj json, Map<String, String> env) {
        Json.Obj nested = object(json, "settings");
        Map<String, String> flat = SettingsFlattener.of(nested);
        RoutingSettings settings;
        boolean pushed;
        try {
            RoutingSettings told = new SettingsReader(flat).settings();
            pushed = !told.watchOnRequest();
            flat.put("Discovery", "subscribe"); // on sockets a list comes only to who opens a watch
            if (told.limits().maxRetryAfter() <= 0) {
                flat.put("Limits.MaxRetryAfter", "2000000");
            }
            positive(flat, told.classes().size());
            flat.put("Limits.RetryAfter", "true"); // HTTP can always carry it, and a client in doubt is told
            settings = new SettingsReader(flat).settings();
            wallmoor.decision.SettingsValidator.check(settings);
        } catch (ConfigException e) {
            throw new ConfigException("settings." + e.key(), "settings " + e.getMessage());
        } catch (IllegalArgumentException e) {
            throw new ConfigException("settings", e.getMessage());
        }
        Json.Obj limits = json.get("limits") instanceof Json.Obj o ? o : new Json.Obj();
        int sockets = (int) bounded("limits.sockets", limits.number("sockets", DEFAULT_SOCKETS), FEWEST_SOCKETS);
        int memory = (int) bounded("limits.memory_mb", limits.number("memory_mb", DEFAULT_MEMORY), FEWEST_MEMORY);
        int streams = (int) bounded("settings.Limits.StreamsPerConn", decimal(flat, "Limits.StreamsPerConn", 100), 1);
        long idle = (long) bounded("settings.Limits.ConnIdle", decimal(flat, "Limits.ConnIdle", 15e6), 1) / 1000;
        long connect = settings.limits().connectTimeout() / 1000;
        String admin = textOr(json, "admin_addr", env.get("ROUTER_ADMIN_ADDR"));
        boolean inherited = inherited(env);
        if (inherited) { // two processes may be one gatherer for a while, and neither can ask the other in time
            settings = settings.withRetryBudgetMinimum(settings.rules().retryBudgetMinimum() / 2);
        }
        return new LaunchConfig(textOr(json, "name", env.getOrDefault("ROUTER_NAME", "gatherer")),
                address("listen", textOr(json, "listen", env.get("ROUTER_LISTEN"))),
                address("discovery", textOr(json, "discovery", env.get("ROUTER_DISCOVERY"))),
                seed(json.get("seed")), settings, json.get("known") instanceof Json.Obj o ? o : null,
                names(nested, "Dcs"), names(nested, "Kinds"), classNames(nested), sockets, memory, streams, idle,
                connect > 0 ? (int) connect : 1000, admin == null ? null : address("admin_addr", admin),
                inherited, Set.of(), ConfigurationKeys.of(json), pushed);
    }

    /** The place of a class in force, or -1. */
    public int classIndex(String name) {
        return places().of(name);
    }

    private ClassIndexes places() {
        return new ClassIndexes(classes, settings.classes(), removedClasses);
    }

    private IntStream placesInForce() {
        return IntStream.range(0, classes.size()).filter(place -> !removedClasses.contains(place));
    }

    /** The names of the classes in force. */
    public List<String> activeClassNames() {
        return placesInForce().mapToObj(classes::get).toList();
    }

    /**
     * This, as it goes on once a file was read again: with the settings and the discovery of that file, whose classes
     * stand in the places that they had before.
     *
     * @throws ConfigException if that file lacks a key that this one has
     */
    public LaunchConfig changedTo(LaunchConfig file) {
        String missing = ConfigurationKeys.missing(file.keys, keys);
        if (missing != null) {
            throw new ConfigException(missing, missing + " is missing, and the configuration in force has it");
        }
        ClassIndexes places = places().changedTo(file.classes, file.settings.classes());
        return new LaunchConfig(name, listen, file.discovery, seed, file.settings.withClasses(places.classes()), known,
                zones,
                kinds, places.names(), sockets, memoryMb, streamsPerConnection, connIdleMillis, connectMillis, admin,
                isSocketInherited,
                places.vanished(), file.keys, file.isListPushed);
    }

    /**
     * This at other addresses, none of them the platform's, with other nodes known: for a rehearsal.
     *
     * @param held whether the listening socket is somebody else's
     */
    public LaunchConfig withAddresses(InetSocketAddress address, InetSocketAddress list, InetSocketAddress operators,
            Json.Obj nodes,
            boolean held) {
        return new LaunchConfig(name, address, list, seed, settings, nodes, zones, kinds, classes, sockets, memoryMb,
                streamsPerConnection,
                connIdleMillis, connectMillis, operators, held, removedClasses, keys, isListPushed);
    }

    /** Whether the platform says that it holds the listening socket; it can do so as descriptor 0 alone. */
    private static boolean inherited(Map<String, String> env) {
        String fd = env.getOrDefault("ROUTER_INHERITED_FD", "");
        if (!fd.isEmpty() && !fd.equals("0")) {
            throw new ConfigException("ROUTER_INHERITED_FD", "ROUTER_INHERITED_FD must be 0, the one descriptor that"
                    + " can be taken over, or absent: " + fd);
        }
        return !fd.isEmpty();
    }

    /** The address in a text, as HOST:PORT. No name is looked up: there is no DNS. */
    public static InetSocketAddress address(String key, String text) {
        if (text == null) {
            throw new ConfigException(key, key + " is absent");
        }
        int colon = text.lastIndexOf(':');
        if (colon < 1 || text.length() > colon + 6 || !only(DIGITS, text, colon + 1, text.length())
                || !isHost(text.substring(0, colon))) {
            throw new ConfigException(key, key + " is not ADDRESS:PORT: " + text);
        }
        int port = Integer.parseInt(text.substring(colon + 1));
        if (port > 65535) {
            throw new ConfigException(key, key + " has no such port: " + text);
        }
        return new InetSocketAddress(text.substring(0, colon), port);
    }

    /** Numbers with dots, brackets round those of IPv6, or this machine; no pattern, as that costs each start. */
    private static boolean isHost(String host) {
        return host.equals("localhost") || only(DIGITS + ".", host, 0, host.length())
                || (host.startsWith("[") && host.endsWith("]")
                        && only(DIGITS + "abcdefABCDEF:.", host, 1, host.length() - 1));
    }

    /** Whether there is something between these places, and nothing but these signs. */
    private static boolean only(String signs, String text, int from, int to) {
        for (int i = from; i < to; i++) {
            if (signs.indexOf(text.charAt(i)) < 0) {
                return false;
            }
        }
        return from < to;
    }

    private static Json.Obj object(Json.Obj in, String key) {
        if (in.get(key) instanceof Json.Obj o) {
            return o;
        }
        throw new ConfigException(key, key + " is absent or no object");
    }

    private static String textOr(Json.Obj json, String key, String otherwise) {
        String text = json.text(key);
        return text != null ? text : otherwise;
    }

    private static double bounded(String key, double value, double least) {
        if (!(value >= least && value <= 1e15)) {
            throw new ConfigException(key, key + " must be at least " + (long) least + ": " + value);
        }
        return value;
    }

    /** Deadlines and counts that nothing could be served by, named as in the file; the module would name its own. */
    private static void positive(Map<String, String> flat, int classes) {
        positive(flat, "Limits.MaxAttempts", Integer.MAX_VALUE);
        positive(flat, "Limits.MaxOpen", Integer.MAX_VALUE);
        for (int i = 0; i < classes; i++) {
            positive(flat, "Classes." + i + ".Aim", MOST_MICROS);
            positive(flat, "Classes." + i + ".GiveUp", MOST_MICROS);
        }
    }

    private static void positive(Map<String, String> flat, String path, double most) {
        String text = flat.getOrDefault(path, "-");
        double value = text.isEmpty() || text.equals("-") ? 1 : decimal(flat, path, 1); // absent: not for this
        if (!(value >= 1 && value <= most)) {
            throw new ConfigException(path,
                    "must have a number from 1 to " + (long) most + " at " + path + ": " + text);
        }
    }

    private static double decimal(Map<String, String> flat, String path, double otherwise) {
        try {
            return flat.containsKey(path) ? Double.parseDouble(flat.get(path)) : otherwise;
        } catch (NumberFormatException e) {
            throw new ConfigException("settings." + path, "settings." + path + " is no number: " + flat.get(path));
        }
    }

    private static long seed(Object seed) {
        try {
            return seed instanceof Number n ? n.longValue()
                    : seed instanceof String s ? Long.parseUnsignedLong(s, 16) : System.nanoTime();
        } catch (NumberFormatException e) {
            throw new ConfigException("seed", "seed is not hex: " + seed);
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

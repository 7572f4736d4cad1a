package wallmoor.standin;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.RandomAccessFile;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import wallmoor.migration.DiskSpace;
import wallmoor.migration.ReplicaRecord;
import wallmoor.migration.ReplicaRecord.ReplicaState;
import wallmoor.migration.ReplicaRequest;
import wallmoor.migration.ReplicaResponse;
import wallmoor.migration.ReplicaResponse.ResponseCode;
import wallmoor.migration.ReplicaStateMachine;
import wallmoor.migration.http.MigrationCodec;

/**
 * A stand-in for a storage node. Blocks are files in a directory; migration requests, reads and writes arrive by HTTP.
 * Its arguments are {@code DIR PORT DISK_MB DISK_MB_PER_S [BLOCK:BYTES:MB]...}. Files in the directory control it:
 *
 * <ul>
 * <li>{@code peers}: the other nodes, one {@code id host:port} in a line
 * <li>{@code other}: the megabytes of the disk that other data uses
 * <li>{@code flip}: corrupts the next chunk that is fetched
 * <li>{@code careless}: makes it always report a load of 0
 * <li>{@code journal}: written by the node, its state changes and the non-idempotent parts that it ran
 * </ul>
 *
 * <p>Its files survive SIGKILL. They are not forced to the disk, so a power failure is not simulated.
 */
public final class DiskNode {
    /** The slots of eight bytes at the head of a block; a non-idempotent part writes its id to slot id % SLOTS. */
    public static final int SLOTS = 64;
    /** The size of a block's head. */
    public static final int HEAD_BYTES = SLOTS * 8;
    /** The size of the answer to a read. */
    public static final int PIECE_BYTES = 16_384;
    private static final int THREADS = 16;
    /** The average time of a read at which the node reports a load of one half. */
    private static final double HALF_LOAD_READ_MILLIS = 20;

    private final Path dir;
    private final long diskMb;
    private final double bytesPerMilli;
    private final Map<String, ReplicaRecord> replicas = new ConcurrentHashMap<>();
    private final Map<String, Object> locks = new ConcurrentHashMap<>();
    private final HttpClient client = HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(1)).build();
    private final Object disk = new Object();
    private double averageReadMillis;
    private final Object loadLock = new Object();

    private DiskNode(Path dir, long diskMb, double mbPerSecond) {
        this.dir = dir;
        this.diskMb = diskMb;
        bytesPerMilli = mbPerSecond * 1_000;
    }

    /** Runs a node until it is killed. */
    public static void main(String[] args) throws IOException {
        System.setProperty("sun.net.httpserver.nodelay", "true"); // else each answer waits 40 ms for an ACK
        Path dir = Files.createDirectories(Path.of(args[0]));
        var node = new DiskNode(dir, Long.parseLong(args[2]), Double.parseDouble(args[3]));
        if (!Files.exists(dir.resolve("journal"))) {
            for (int i = 4; i < args.length; i++) {
                String[] fields = args[i].split(":");
                Files.write(dir.resolve(fields[0] + ".data"), content(fields[0], 0, Integer.parseInt(fields[1])));
                node.store(fields[0], ReplicaRecord.owned(Long.parseLong(fields[1]), Long.parseLong(fields[2])));
            }
            node.journal("began", "-", "");
        }
        try (var files = Files.list(dir)) {
            for (Path file : files.filter(f -> f.toString().endsWith(".held")).toList()) {
                node.replicas.put(file.getFileName().toString().replace(".held", ""),
                        MigrationCodec.decodeReplica(Files.readAllBytes(file)));
            }
        }
        var server = HttpServer
                .create(new InetSocketAddress(InetAddress.getLoopbackAddress(), Integer.parseInt(args[1])), 50);
        server.setExecutor(Executors.newFixedThreadPool(THREADS));
        server.createContext("/", exchange -> {
            try (exchange) {
                node.serve(exchange);
            } catch (RuntimeException e) {
                exchange.sendResponseHeaders(400, -1);
            }
        });
        server.start();
    }

    /** Returns the initial content of a block, which is the same on every node. */
    public static byte[] content(String block, long from, int length) {
        byte[] bytes = new byte[length];
        for (int i = 0; i < length; i++) {
            long offset = from + i;
            bytes[i] = offset < HEAD_BYTES ? 0
                    : (byte) ((offset * 0x9e3779b97f4a7c15L + block.hashCode() * 31L) >>> 40);
        }
        return bytes;
    }

    private void serve(HttpExchange exchange) throws IOException {
        var parameters = new HashMap<String, String>();
        if (exchange.getRequestURI().getQuery() != null) {
            for (String pair : exchange.getRequestURI().getQuery().split("&")) {
                parameters.put(pair.split("=")[0], pair.split("=")[1]);
            }
        }
        String block = parameters.getOrDefault("block", "");
        switch (exchange.getRequestURI().getPath()) {
            case "/moves" -> {
                MigrationCodec.RequestMessage message = MigrationCodec
                        .decodeRequest(exchange.getRequestBody().readAllBytes());
                reply(exchange, 200, MigrationCodec.encode(handle(message)).getBytes(StandardCharsets.UTF_8));
            }
            case "/chunk" -> {
                synchronized (lock(block)) {
                    boolean isComplete = replica(block).isComplete();
                    reply(exchange, isComplete ? 200 : 409,
                            isComplete
                                    ? read(block, Long.parseLong(parameters.get("from")),
                                            Integer.parseInt(parameters.get("length")))
                                    : new byte[0]);
                }
            }
            case "/read" -> {
                long begun = System.nanoTime();
                byte[] piece = replica(block).servesReads() ? piece(block, Long.parseLong(parameters.get("from")))
                        : new byte[0];
                synchronized (loadLock) {
                    averageReadMillis += ((System.nanoTime() - begun) / 1e6 - averageReadMillis) / 8;
                }
                reply(exchange, piece.length > 0 ? 200 : 409, piece);
            }
            case "/once" ->
                reply(exchange,
                        runOnce(block, Long.parseLong(parameters.get("version")), Long.parseLong(parameters.get("id")))
                                ? 200 : 409,
                        new byte[0]);
            default -> reply(exchange, 404, new byte[0]);
        }
    }

    private static void reply(HttpExchange exchange, int status, byte[] body) throws IOException {
        exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
        exchange.getResponseBody().write(body);
    }

    private byte[] piece(String block, long from) {
        try {
            return read(block, from, PIECE_BYTES);
        } catch (IOException e) {
            return new byte[0]; // the block was dropped meanwhile: answered with 409
        }
    }

    /** Waits for as long as the disk takes for these bytes; it serves one request at a time. */
    private void occupyDisk(long bytes) {
        synchronized (disk) {
            try {
                long micros = (long) (bytes / bytesPerMilli * 1_000);
                Thread.sleep(micros / 1_000, (int) (micros % 1_000) * 1_000);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    private byte[] read(String block, long from, int length) throws IOException {
        try (var file = new RandomAccessFile(dir.resolve(block + ".data").toFile(), "r")) {
            byte[] bytes = new byte[(int) Math.max(0, Math.min(length, file.length() - from))];
            file.seek(from);
            file.readFully(bytes);
            occupyDisk(bytes.length);
            return bytes;
        }
    }

    private void write(String block, long offset, byte[] bytes) throws IOException {
        occupyDisk(bytes.length);
        try (var file = new RandomAccessFile(dir.resolve(block + ".data").toFile(), "rw")) {
            file.seek(offset);
            file.write(bytes);
        }
    }

    /** Runs a non-idempotent part; returns false where this version of the map must not run it here. */
    private boolean runOnce(String block, long version, long id) throws IOException {
        synchronized (lock(block)) {
            ReplicaRecord replica = replica(block);
            if (!replica.servesNonIdempotent(version)) {
                if (!replica.afterRejecting(version).equals(replica)) {
                    store(block, replica.afterRejecting(version)); // ensures that a rejected part never runs later
                }
                return false;
            }
            write(block, id % SLOTS * 8, java.nio.ByteBuffer.allocate(8).putLong(id).array());
            journal("ran", block, "" + id);
            return true;
        }
    }

    private ReplicaResponse handle(MigrationCodec.RequestMessage message) throws IOException {
        String block = message.block();
        if (message.request() instanceof ReplicaRequest.ListReplicas) {
            return response(ResponseCode.OK, ReplicaRecord.NONE, List.of(), replicas);
        }
        ReplicaStateMachine.Transition transition;
        List<String> checksums = List.of();
        synchronized (lock(block)) {
            transition = ReplicaStateMachine.handle(replica(block), message.fencingToken(), message.request(),
                    diskSpace(), () -> checksums(block, replica(block).chunkBytes()));
            store(block, transition.replica());
            if (transition.code() == ResponseCode.OK
                    && message.request() instanceof ReplicaRequest.ComputeChecksums request) {
                checksums = checksums(block, request.chunkBytes());
            } else if (transition.code() == ResponseCode.OK
                    && message.request() instanceof ReplicaRequest.Fence request) {
                checksums = checksums(block, request.chunkBytes());
            }
        }
        if (transition.code() == ResponseCode.OK && message.request() instanceof ReplicaRequest.FetchChunk request) {
            ReplicaRecord replica = transition.replica();
            byte[] chunk = fetch(request.source(), block, (long) request.chunkIndex() * replica.chunkBytes(),
                    replica.chunkBytes());
            if (chunk == null) {
                return response(ResponseCode.NO_SOURCE, replica, checksums, Map.of());
            }
            if (Files.deleteIfExists(dir.resolve("flip"))) {
                chunk[chunk.length / 2] ^= 4;
                journal("flipped", block, "" + request.chunkIndex());
            }
            synchronized (lock(block)) {
                transition = ReplicaStateMachine.handleFetchedChunk(replica(block), message.fencingToken(),
                        request.chunkIndex(), diskSpace(), request.limitMb());
                if (transition.code() == ResponseCode.OK) {
                    write(block, (long) request.chunkIndex() * replica.chunkBytes(), chunk);
                }
                store(block, transition.replica());
            }
        }
        return response(transition.code(), transition.replica(), checksums, Map.of());
    }

    private ReplicaResponse response(ResponseCode code, ReplicaRecord replica, List<String> checksums,
            Map<String, ReplicaRecord> listed) throws IOException {
        double load;
        synchronized (loadLock) {
            load = Files.exists(dir.resolve("careless")) ? 0
                    : Math.min(1, averageReadMillis / HALF_LOAD_READ_MILLIS / 2);
            averageReadMillis *= 0.98; // decays without reads
        }
        return new ReplicaResponse(code, replica, diskSpace(), checksums, load, listed);
    }

    private byte[] fetch(String source, String block, long offset, int length) throws IOException {
        String address = Files.readAllLines(dir.resolve("peers")).stream().filter(l -> l.startsWith(source + " "))
                .findFirst().orElse("- 127.0.0.1:1").split(" ")[1];
        try {
            var answer = client.send(
                    HttpRequest.newBuilder(URI.create("http://" + address + "/chunk?block=" + block + "&from=" + offset
                            + "&length=" + length)).timeout(Duration.ofSeconds(5)).build(),
                    HttpResponse.BodyHandlers.ofByteArray());
            return answer.statusCode() == 200 && answer.body().length > 0 ? answer.body() : null;
        } catch (IOException e) {
            return null;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return null;
        }
    }

    private List<String> checksums(String block, int chunkBytes) {
        var checksums = new ArrayList<String>();
        try {
            Path file = dir.resolve(block + ".data");
            byte[] all = Files.exists(file) ? Files.readAllBytes(file) : new byte[0];
            for (int offset = 0; offset < all.length; offset += chunkBytes) {
                MessageDigest sha = MessageDigest.getInstance("SHA-256");
                sha.update(all, offset, Math.min(chunkBytes, all.length - offset));
                checksums.add(HexFormat.of().formatHex(sha.digest()));
            }
        } catch (IOException | NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
        return checksums;
    }

    private Object lock(String block) {
        return locks.computeIfAbsent(block, b -> new Object());
    }

    private ReplicaRecord replica(String block) {
        return replicas.getOrDefault(block, ReplicaRecord.NONE);
    }

    private DiskSpace diskSpace() throws IOException {
        Path other = dir.resolve("other");
        return new DiskSpace(diskMb, Files.exists(other) ? Long.parseLong(Files.readString(other).strip()) : 0,
                replicas.values().stream().mapToLong(ReplicaRecord::reservedMb).sum());
    }

    /** Stores a replica's state before it is reported. The caller holds the block's lock. */
    private void store(String block, ReplicaRecord next) throws IOException {
        ReplicaRecord previous = replica(block);
        if (next.equals(previous)) {
            return;
        }
        Path temporary = dir.resolve(block + ".tmp");
        Files.writeString(temporary, MigrationCodec.encode(next));
        Files.move(temporary, dir.resolve(block + ".held"), StandardCopyOption.ATOMIC_MOVE);
        replicas.put(block, next);
        if (next.state() == ReplicaState.ABSENT) {
            Files.deleteIfExists(dir.resolve(block + ".data"));
        }
        if (previous.state() != next.state()) {
            long reservedMb = replicas.values().stream().mapToLong(ReplicaRecord::reservedMb).sum();
            journal("is", block,
                    next.state() + " " + reservedMb + " " + diskSpace().otherMb() + " " + next.fencingToken());
        }
    }

    private synchronized void journal(String event, String block, String details) throws IOException {
        Files.writeString(dir.resolve("journal"),
                System.currentTimeMillis() + " " + event + " " + block + " " + details + "\n",
                StandardOpenOption.CREATE, StandardOpenOption.APPEND);
    }

    /** Reads the replicas by block from the directory of a node that has ended. */
    public static Map<String, ReplicaRecord> readReplicas(Path dir) throws IOException {
        var stored = new TreeMap<String, ReplicaRecord>();
        try (var files = Files.list(dir)) {
            for (Path file : files.filter(f -> f.toString().endsWith(".held")).toList()) {
                stored.put(file.getFileName().toString().replace(".held", ""),
                        MigrationCodec.decodeReplica(Files.readAllBytes(file)));
            }
        }
        return stored;
    }
}

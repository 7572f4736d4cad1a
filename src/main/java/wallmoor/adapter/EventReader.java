package wallmoor.adapter;

import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import wallmoor.decision.Absent;
import wallmoor.decision.AttemptEndReason;
import wallmoor.decision.AttemptEnded;
import wallmoor.decision.PartArrived;
import wallmoor.decision.QueryArrived;
import wallmoor.decision.RoutingPolicy;
import wallmoor.decision.WorkerListEntry;
import wallmoor.decision.WorkerListKind;
import wallmoor.decision.WorkerStatus;

/** Reads lines of the simulator's wire as events, and gives them to the routing policy that they are for. */
final class EventReader {
    private static final Map<String, AttemptEndReason> END_REASONS = Map.of("ok", AttemptEndReason.OK, "error",
            AttemptEndReason.ERROR, "full", AttemptEndReason.REJECTED, "timeout", AttemptEndReason.TIMEOUT,
            "connect_failed", AttemptEndReason.CONNECT_FAILED, "reset", AttemptEndReason.RESET, "cancelled",
            AttemptEndReason.CANCELLED, "moot", AttemptEndReason.NOT_STARTED);
    private static final Map<String, WorkerStatus> STATUSES = Map.of("up", WorkerStatus.UP, "draining",
            WorkerStatus.DRAINING, "removed", WorkerStatus.REMOVED);
    private static final Map<String, WorkerListKind> LIST_KINDS = Map.of("patch", WorkerListKind.CHANGES, "whole",
            WorkerListKind.COMPLETE, "stale_copy", WorkerListKind.CACHED, "broken", WorkerListKind.WATCH_FAILED);
    /** Bits of a query's attributes. */
    private static final int HINT_BIT = 1;
    private static final int RETRY_BIT = 2;

    /** The worker lists that the simulator has given, by the number under which events name them. */
    private final Map<Integer, List<WorkerListEntry>> inventories = new HashMap<>();

    /** An entry of a worker list. */
    static WorkerListEntry entry(MessageLine item) {
        return new WorkerListEntry(item.text("Leaf"), item.intOr("Hall", 0), item.intOr("ClassOfHost", 0),
                item.intValue("Position"), item.keyword("StageState", STATUSES), item.doubleOr("Size", 1),
                item.timeOrAbsent("UpSince"));
    }

    /** Keeps a worker list for later events; one of the same number before it is forgotten. */
    void addInventory(int number, List<WorkerListEntry> entries) {
        inventories.put(number, List.copyOf(entries));
    }

    /** Gives the event of this line to a gatherer's policy. */
    void deliver(MessageLine line, HostedGatherer gatherer, long now) {
        RoutingPolicy policy = gatherer.policy();
        switch (line.name) {
            case "PEERS_KNOWN" -> workerList(line, policy, now);
            case "INCOMING" -> arrival(line, policy, now);
            case "RESOLVED" -> attemptEnd(line, gatherer, now);
            case "HANGUP" -> policy.onClientDisconnected(now, line.text("Ticket"));
            case "WAKE" -> policy.onTimer(now, line.text("Nonce"));
            case "SAMPLED" -> {} // the policy sends no health checks
            case "PEER" -> peerMessage(line, policy, now);
            case "FLOWING" -> {} // no query class streams its answers
            default -> throw line.malformed("name", "is no known message");
        }
    }

    private void workerList(MessageLine line, RoutingPolicy policy, long now) {
        WorkerListKind kind = line.keyword("Form", LIST_KINDS);
        line.optional("Gen");
        int number = line.intOr("Sheet", 0);
        List<WorkerListEntry> entries = kind == WorkerListKind.WATCH_FAILED ? List.of() : inventories.get(number);
        if (entries == null) {
            throw line.malformed("Sheet", "names no INVENTORY: " + number);
        }
        policy.onWorkerList(now, kind, entries);
    }

    private static void arrival(MessageLine line, RoutingPolicy policy, long now) {
        String id = line.text("Ticket");
        int queryClass = line.intOr("Priority", 0);
        int tenant = line.intOr("Realm", 0);
        String key = line.optional("PartitionKey");
        long deadline = line.longValue("Deadline");
        long hint = line.longOr("WorkHint", Absent.VALUE);
        long number = line.longValue("Query");
        int shard = line.intValue("SegmentNo");
        boolean isQuery = shard < 0;
        double shareOrCount = line.doubleOr("ShareOrCount", isQuery ? 0 : 1);
        int attributes = line.intOr("Attrs", 0);
        if ((attributes & HINT_BIT) == 0) {
            hint = Absent.VALUE;
        }
        if (isQuery) {
            policy.onQueryArrived(now, new QueryArrived(id, number, queryClass, tenant, key, deadline, hint,
                    (int) shareOrCount, (attributes & RETRY_BIT) != 0));
        } else {
            policy.onPartArrived(now, new PartArrived(id, number, shard, shareOrCount, hint));
        }
    }

    private static void attemptEnd(MessageLine line, HostedGatherer gatherer, long now) {
        var ended = new AttemptEnded(line.text("Ticket"), line.intValue("Shot"), line.text("Leaf"),
                line.keyword("How", END_REASONS), line.longOr("CostTime", 0), line.flag("Complete"),
                line.loadReport("Load", gatherer.columns()));
        gatherer.policy().onAttemptEnded(now, ended);
    }

    private static void peerMessage(MessageLine line, RoutingPolicy policy, long now) {
        int sender = line.intValue("Neighbour");
        String hex = line.optional("Contents");
        byte[] contents;
        try {
            contents = hex == null ? new byte[0] : HexFormat.of().parseHex(hex);
        } catch (IllegalArgumentException e) {
            throw line.malformed("Contents", "is not hex: " + hex);
        }
        policy.onPeerMessage(now, sender, contents);
    }
}

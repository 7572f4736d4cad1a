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

/** Reads lines of the simulator's wire protocol as events and delivers them to a gatherer's routing policy. */
final class EventReader {
    private static final Map<String, AttemptEndReason> END_REASONS = Map.of("ok", AttemptEndReason.OK, "error",
            AttemptEndReason.ERROR, "full", AttemptEndReason.REJECTED, "timeout", AttemptEndReason.TIMEOUT,
            "connect_failed", AttemptEndReason.CONNECT_FAILED, "reset", AttemptEndReason.RESET, "cancelled",
            AttemptEndReason.CANCELLED, "moot", AttemptEndReason.NOT_STARTED);
    private static final Map<String, WorkerStatus> STATUSES = Map.of("up", WorkerStatus.UP, "draining",
            WorkerStatus.DRAINING, "removed", WorkerStatus.REMOVED);
    private static final Map<String, WorkerListKind> LIST_KINDS = Map.of("patch", WorkerListKind.CHANGES, "whole",
            WorkerListKind.COMPLETE, "stale_copy", WorkerListKind.CACHED, "broken", WorkerListKind.WATCH_FAILED);
    /** The bit of a query's attributes that says that the work hint is valid. */
    private static final int HINT_BIT = 1;
    /** The bit of a query's attributes that says that the client marks it as a retry. */
    private static final int RETRY_BIT = 2;
    /** The simulator has no field for idempotency keys: its workers recognise a repeated part by themselves. */
    private static final boolean WORKERS_RECOGNISE_REPEATS = true;

    /** The worker lists that the simulator has sent, by the number with which events refer to them. */
    private final Map<Integer, List<WorkerListEntry>> workerLists = new HashMap<>();

    /** Reads an entry of a worker list. */
    static WorkerListEntry readEntry(MessageLine item) {
        return new WorkerListEntry(item.text("Leaf"), item.intOr("Hall", 0), item.intOr("ClassOfHost", 0),
                item.intValue("Position"), item.keyword("StageState", STATUSES), item.doubleOr("Size", 1),
                item.timeOrAbsent("UpSince"));
    }

    /** Stores a worker list for later events; replaces an earlier list of the same number. */
    void addInventory(int number, List<WorkerListEntry> entries) {
        workerLists.put(number, List.copyOf(entries));
    }

    /** Delivers the event of a line to a gatherer's policy. */
    void deliver(MessageLine line, HostedGatherer gatherer, long now) {
        RoutingPolicy policy = gatherer.policy();
        switch (line.name) {
            case "PEERS_KNOWN" -> deliverWorkerList(line, policy, now);
            case "INCOMING" -> deliverArrival(line, policy, now);
            case "RESOLVED" -> deliverAttemptEnd(line, gatherer, now);
            case "HANGUP" -> policy.onClientDisconnected(now, line.text("Ticket"));
            case "WAKE" -> policy.onTimer(now, line.text("Nonce"));
            case "SAMPLED" -> {} // the policy sends no health checks
            case "PEER" -> deliverPeerMessage(line, policy, now);
            case "FLOWING" -> {} // no query class streams its answers
            default -> throw line.malformed("name", "is not a known message: " + line.name);
        }
    }

    private void deliverWorkerList(MessageLine line, RoutingPolicy policy, long now) {
        WorkerListKind kind = line.keyword("Form", LIST_KINDS);
        line.optionalText("Gen");
        int number = line.intOr("Sheet", 0);
        List<WorkerListEntry> entries = kind == WorkerListKind.WATCH_FAILED ? List.of() : workerLists.get(number);
        if (entries == null) {
            throw line.malformed("Sheet", "refers to an unknown INVENTORY: " + number);
        }
        policy.onWorkerList(now, kind, entries);
    }

    private static void deliverArrival(MessageLine line, RoutingPolicy policy, long now) {
        String id = line.text("Ticket");
        int queryClass = line.intOr("Priority", 0);
        int tenant = line.intOr("Realm", 0);
        String key = line.optionalText("PartitionKey");
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
                    (int) shareOrCount, (attributes & RETRY_BIT) != 0, WORKERS_RECOGNISE_REPEATS, false));
        } else {
            policy.onPartArrived(now, new PartArrived(id, number, shard, shareOrCount, hint));
        }
    }

    private static void deliverAttemptEnd(MessageLine line, HostedGatherer gatherer, long now) {
        var ended = new AttemptEnded(line.text("Ticket"), line.intValue("Shot"), line.text("Leaf"),
                line.keyword("How", END_REASONS), line.longOr("CostTime", 0), line.flag("Complete"),
                line.loadReport("Load", gatherer.columns()));
        gatherer.policy().onAttemptEnded(now, ended);
    }

    private static void deliverPeerMessage(MessageLine line, RoutingPolicy policy, long now) {
        int sender = line.intValue("Neighbour");
        String hex = line.optionalText("Contents");
        byte[] contents;
        try {
            contents = hex == null ? new byte[0] : HexFormat.of().parseHex(hex);
        } catch (IllegalArgumentException e) {
            throw line.malformed("Contents", "is not hexadecimal: " + hex);
        }
        policy.onPeerMessage(now, sender, contents);
    }
}

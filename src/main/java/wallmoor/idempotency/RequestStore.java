package wallmoor.idempotency;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import wallmoor.idempotency.RequestDecision.RejectionReason;
import wallmoor.idempotency.RequestRecord.RequestState;

/**
 * All requests and uploads with the memory and quotas that they use. To admit a new request, the store evicts outcomes
 * of requests that may be executed again, the earliest first; other outcomes stay until they expire.
 */
final class RequestStore {
    private final IdempotencyLimits limits;
    private final Map<IdempotencyKey, RequestRecord> requests = new HashMap<>();
    /** Separate from {@link #requests}, because a body may be uploaded again for a known request. */
    private final Map<IdempotencyKey, RequestRecord> uploads = new HashMap<>();
    private final Map<String, DeviceAccount> devices = new LinkedHashMap<>();
    /** Completed requests of all devices that may be executed again, in the order of completion. */
    private final Set<RequestRecord> evictable = new LinkedHashSet<>();
    private int open;
    private long reservedBytes;

    RequestStore(IdempotencyLimits limits) {
        this.limits = limits;
    }

    /** Returns the running or completed request with this key, or null. */
    RequestRecord request(IdempotencyKey key) {
        return requests.get(key);
    }

    /** Returns the upload with this key, or null. */
    RequestRecord upload(IdempotencyKey key) {
        return uploads.get(key);
    }

    /** Returns whether this very record is still in the store. */
    boolean contains(RequestRecord request) {
        return requests.get(request.key) == request || uploads.get(request.key) == request;
    }

    /** Returns the account of a key's device, which is created if absent. */
    DeviceAccount account(IdempotencyKey key, long now) {
        DeviceAccount account = devices.get(key.device());
        if (account == null) {
            account = new DeviceAccount(limits, now);
            devices.put(key.device(), account);
        }
        return account;
    }

    /** Makes room for a request of this many bytes; returns why it can't be admitted, or empty if it can. */
    Optional<RejectionReason> admit(DeviceAccount account, long bytes) {
        if (account.open >= limits.maxOpenPerDevice()) {
            return Optional.of(RejectionReason.DEVICE_QUOTA_EXCEEDED);
        }
        if (open >= limits.maxOpen()) {
            return Optional.of(RejectionReason.CAPACITY_EXCEEDED);
        }
        while (account.reservedBytes + bytes > limits.maxBytesPerDevice()
                || account.retained() + account.open >= limits.maxRetainedPerDevice()) {
            if (account.repeatable.isEmpty()) {
                return Optional.of(RejectionReason.DEVICE_QUOTA_EXCEEDED);
            }
            remove(account.repeatable.iterator().next());
        }
        while (reservedBytes + bytes > limits.maxRetainedBytes()) {
            if (evictable.isEmpty()) {
                return Optional.of(RejectionReason.CAPACITY_EXCEEDED);
            }
            remove(evictable.iterator().next());
        }
        return Optional.empty();
    }

    /** Adds an admitted request or upload and reserves its bytes. */
    void add(RequestRecord request, long bytes) {
        tableOf(request).put(request.key, request);
        DeviceAccount account = devices.get(request.key.device());
        account.open++;
        open++;
        reserve(request, account, bytes);
    }

    /** Removes a request or upload and releases what it uses. */
    void remove(RequestRecord request) {
        DeviceAccount account = devices.get(request.key.device());
        tableOf(request).remove(request.key);
        reserve(request, account, 0);
        if (request.state == RequestState.COMPLETED) {
            account.repeatable.remove(request);
            account.executedOnce.remove(request);
            evictable.remove(request);
        } else {
            account.open--;
            open--;
        }
    }

    /** Stores the outcome of a running request; an outcome that does not fit may be evicted at once. */
    void complete(RequestRecord request, StoredOutcome outcome, long now) {
        DeviceAccount account = devices.get(request.key.device());
        request.state = RequestState.COMPLETED;
        request.outcome = outcome;
        account.open--;
        open--;
        reserve(request, account, IdempotencyLimits.RECORD_OVERHEAD_BYTES + (long) outcome.bytes().length);
        if (request.mayRepeat) {
            request.expiresAt = now + limits.retention();
            account.repeatable.add(request);
            evictable.add(request);
            evictExcess(request, account);
        } else {
            account.executedOnce.add(request);
        }
    }

    /**
     * Evicts outcomes until the limits are met or the request that has just completed is evicted; its waiting devices
     * still get the outcome.
     */
    private void evictExcess(RequestRecord completed, DeviceAccount account) {
        boolean retained = true;
        while (retained && (reservedBytes > limits.maxRetainedBytes()
                || account.reservedBytes > limits.maxBytesPerDevice())) {
            boolean deviceFull = account.reservedBytes > limits.maxBytesPerDevice();
            RequestRecord oldest = (deviceFull ? account.repeatable : evictable).iterator().next();
            remove(oldest);
            retained = oldest != completed;
        }
    }

    /** Removes the accounts of idle devices. */
    void removeIdleDevices(long now) {
        devices.values().removeIf(account -> account.isIdle(limits, now));
    }

    /** Returns the current resource usage. */
    IdempotentRequests.Usage usage() {
        int retained = requests.size() + uploads.size() - open;
        return new IdempotentRequests.Usage(open, retained, reservedBytes, devices.size());
    }

    private Map<IdempotencyKey, RequestRecord> tableOf(RequestRecord request) {
        return request.state == RequestState.UPLOADING ? uploads : requests;
    }

    private void reserve(RequestRecord request, DeviceAccount account, long bytes) {
        account.reservedBytes += bytes - request.reservedBytes;
        reservedBytes += bytes - request.reservedBytes;
        request.reservedBytes = bytes;
    }
}

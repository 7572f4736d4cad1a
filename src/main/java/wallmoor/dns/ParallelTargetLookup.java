package wallmoor.dns;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import org.xbill.DNS.Record;
import org.xbill.DNS.SRVRecord;
import wallmoor.threads.Threads;

/** Looks up the targets of a service's SRV records in parallel, on a few threads. */
final class ParallelTargetLookup {
    /** Concurrent look-ups; more would be a burst that servers drop. */
    private static final int MAX_THREADS = 8;

    private final TargetResolver resolver;

    ParallelTargetLookup(TargetResolver resolver) {
        this.resolver = resolver;
    }

    /**
     * Looks up all targets, and returns when the last look-up has ended.
     *
     * @param deadline  when to give up, on the resolver's clock
     * @param bypassing the names of the targets that bypass the cache
     */
    ServiceLookup find(RecordLookup.Records srv, long deadline, Set<String> bypassing) {
        var run = new Run(srv, deadline, bypassing);
        var threads = new ArrayList<Thread>();
        for (int t = 0; t < Math.min(MAX_THREADS, srv.records().size()); t++) {
            threads.add(Threads.start("dns-look-" + t, run));
        }
        try {
            for (Thread thread : threads) {
                thread.join();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return new ServiceLookup.ServiceLookupFailure("interrupted");
        }
        return run.result();
    }

    /** The look-up of all records, shared by the threads: each takes the next record until there is none. */
    private final class Run implements Runnable {
        private final List<Record> records;
        private final long ttlMillis;
        private final long deadline;
        private final Set<String> bypassing;
        private final AtomicInteger next = new AtomicInteger();
        /** For each record either a target or a fault is set; both are read after all threads have ended. */
        private final ServiceTarget[] targets;
        private final String[] faults;

        Run(RecordLookup.Records srv, long deadline, Set<String> bypassing) {
            this.deadline = deadline;
            this.bypassing = bypassing;
            records = srv.records();
            ttlMillis = srv.ttlMillis();
            targets = new ServiceTarget[records.size()];
            faults = new String[records.size()];
        }

        @Override
        public void run() {
            for (int i = next.getAndIncrement(); i < targets.length; i = next.getAndIncrement()) {
                var srv = (SRVRecord) records.get(i);
                String name = TargetResolver.plainName(srv.getTarget());
                try {
                    targets[i] = resolver.resolve(srv, ttlMillis, deadline, bypassing.contains(name));
                } catch (UnusableTargetException | RuntimeException e) {
                    faults[i] = name + ": " + e.getMessage();
                }
            }
        }

        ServiceLookup result() {
            var resolved = new ArrayList<ServiceTarget>();
            var messages = new ArrayList<String>();
            long ttl = ttlMillis;
            Set<String> seen = new HashSet<>();
            for (int i = 0; i < targets.length; i++) {
                ServiceTarget target = targets[i];
                if (target == null) {
                    messages.add(faults[i]);
                } else if (!seen.add(target.name() + ":" + target.port())) {
                    messages.add(target.name() + ": port " + target.port() + " is named by more than one SRV record");
                } else {
                    resolved.add(target);
                    ttl = Math.min(ttl, target.ttlMillis());
                }
            }
            return new ServiceLookup.Resolved(List.copyOf(resolved), List.copyOf(messages), ttl);
        }
    }
}

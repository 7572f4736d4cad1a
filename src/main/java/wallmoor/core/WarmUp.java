package wallmoor.core;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import wallmoor.decision.RouterApi.Settings;

/**
 * Runs made-up queries through a gatherer of its own before the real one says that it is ready: the first queries
 * would else wait for classes to be loaded and compiled.
 */
public final class WarmUp {
    private static final int QUERIES = 150;
    private static final long MOST_MILLIS = 800;

    private WarmUp() {
    }

    /** Returns when the decisions are warm, or after a while. */
    public static void run(Settings settings) {
        long until = System.nanoTime() + MOST_MILLIS * 1_000_000;
        var clock = new Clock();
        var gatherer = new Gatherer(settings, 1, clock, line -> { });
        int cells = settings.layout().cells();
        var members = new ArrayList<Member>();
        for (int i = 0; i < 2 * cells; i++) {
            members.add(new Member("warm" + i, "", i % 2, 0, i % cells, Member.State.SERVING, 1, 0));
        }
        gatherer.start(members);
        var workers = new Workers() {
            private int sends;

            @Override
            public void send(Step.Send send) {
                // now and then a part fails, so that the ways back are warm too
                Outcome outcome = sends++ % 50 == 49 ? Outcome.ERROR : Outcome.SERVED;
                send.attempts().forEach(a -> gatherer.report(Map.of(a, outcome)));
            }

            @Override
            public void cancel(Step.Cancel cancel) {
                gatherer.report(cancel.attempt(), cancel.as(), null);
            }
        };
        try {
            for (int i = 0; i < QUERIES && System.nanoTime() < until; i++) {
                int queryClass = i % settings.classes().size();
                int parts = Math.min(settings.layout().shards(), 1 + i % 9);
                var asks = new ArrayList<Query.Ask>();
                for (int p = 0; p < parts; p++) {
                    asks.add(new Query.Ask((i + p) % settings.layout().shards(), 1.0 / parts, -1));
                }
                long deadline = clock.getAsLong() + settings.classes().get(queryClass).giveUp();
                gatherer.run(gatherer.open("w" + i, queryClass, deadline, false, List.copyOf(asks), null), workers);
                gatherer.tick(0);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}

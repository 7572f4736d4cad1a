package wallmoor.decision;

import java.util.ArrayList;
import java.util.List;

/** Holds the queries of each tenant against its quota: what goes beyond it weighs less, and is rejected first. */
final class TenantQuotas {
    private static final double MICROS_PER_SECOND = 1e6;

    private final PolicyContext context;
    private final List<SlidingWindowSum> queries = new ArrayList<>();

    TenantQuotas(PolicyContext context) {
        this.context = context;
        context.settings().tenants().forEach(t -> queries.add(new SlidingWindowSum(TuningParameters.QUOTA_WINDOW)));
    }

    /** Counts a query of a tenant, and returns the factor on its weight: 1 within the quota or for no known tenant. */
    double recordQuery(int tenant) {
        if (tenant < 0 || tenant >= queries.size()) {
            return 1;
        }
        RoutingSettings settings = context.settings();
        SlidingWindowSum sent = queries.get(tenant);
        sent.add(context.now(), 1);
        double allowed = settings.tenants().get(tenant).quotaPerSecond() / settings.gatherers();
        boolean over = sent.sum(context.now()) > 1 + allowed * TuningParameters.QUOTA_WINDOW / MICROS_PER_SECOND;
        return over ? settings.overQuotaWeight() : 1;
    }
}

package wallmoor.decision;

import java.util.ArrayList;
import java.util.List;

/** Compares the queries of each tenant with its quota. Queries beyond it have a lower weight and are rejected first. */
final class TenantQuotas {
    private static final double MICROS_PER_SECOND = 1e6;

    private final PolicyContext context;
    private final List<SlidingWindowSum> queries = new ArrayList<>();

    TenantQuotas(PolicyContext context) {
        this.context = context;
        context.settings().tenants()
                .forEach(tenant -> queries.add(new SlidingWindowSum(TuningParameters.QUOTA_WINDOW_MICROS)));
    }

    /**
     * Counts a query of a tenant and returns the factor on its weight, which is 1 within the quota and for an unknown
     * tenant.
     */
    double recordQuery(int tenant) {
        if (tenant < 0 || tenant >= queries.size()) {
            return 1;
        }
        RoutingSettings settings = context.settings();
        SlidingWindowSum sent = queries.get(tenant);
        sent.add(context.now(), 1);
        double allowed = settings.tenants().get(tenant).quotaPerSecond() / settings.gatherers();
        boolean isOverQuota = sent.sum(context.now()) > 1
                + allowed * TuningParameters.QUOTA_WINDOW_MICROS / MICROS_PER_SECOND;
        return isOverQuota ? settings.overQuotaWeight() : 1;
    }
}

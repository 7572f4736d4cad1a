package wallmoor.decision;

import java.util.List;
import java.util.Set;

/**
 * The settings of one gatherer's policy. Times are in microseconds.
 *
 * @param gatherers          gatherers that share the workers, this one included
 * @param position           this one's place among them, from 0
 * @param zone               its availability zone
 * @param roundInterval      events come at most this often
 * @param watchOnRequest     changes of the list of workers come only when asked for
 * @param classes            the classes of queries; a class is known by its place here
 * @param tenants            the tenants; a tenant is known by its place here
 * @param overQuotaWeight    factor on the priority weight of queries above their tenant's quota
 * @param weightByWork       a query's weight is held against its share of parts, not against their number
 * @param clientsMarkRetries clients say whether a query is a retry
 * @param layout             which cells hold which shards
 * @param limits             what the platform allows
 * @param rules              rules that the platform checks
 * @param costs              prices that bear on decisions
 */
public record RoutingSettings(int gatherers, int position, int zone, long roundInterval, boolean watchOnRequest,
        List<QueryClass> classes, List<Tenant> tenants, double overQuotaWeight, boolean weightByWork,
        boolean clientsMarkRetries, ShardLayout layout, PlatformLimits limits, PlatformRules rules, CostModel costs) {

    /**
     * The window over which the parts sent to a worker in slow start are counted: the time in which one may fall over,
     * and a round and a connect more, as parts that wait for a connection reach the worker together.
     */
    long slowStartCountWindow() {
        return rules.overloadWindow() + roundInterval + Math.max(0, limits.connectTimeout());
    }

    /** The same among so many gatherers, of which this one has another place. */
    public RoutingSettings amongGatherers(int count, int newPosition) {
        return new RoutingSettings(count, newPosition, zone, roundInterval, watchOnRequest, classes, tenants,
                overQuotaWeight, weightByWork, clientsMarkRetries, layout, limits, rules, costs);
    }

    /**
     * What holds after a reload: the new settings, but for what is bound to the start, which is the group of gatherers,
     * the layout, the tenants, and the windows over which counts are kept.
     */
    RoutingSettings reloadedWith(RoutingSettings next) {
        PlatformRules r = next.rules;
        var nextRules = new PlatformRules(r.answerGrace(), r.drainGrace(), r.slowStartShare(), r.slowStartWindow(),
                r.overloadMultiple(), rules.overloadWindow(), r.pollWithin(), rules.retryBudgetWindow(),
                r.retryBudgetMinimum(), r.retryBudgetRatio());
        return new RoutingSettings(gatherers, position, zone, roundInterval, watchOnRequest, next.classes, tenants,
                next.overQuotaWeight, next.weightByWork, next.clientsMarkRetries, layout, next.limits, nextRules,
                next.costs);
    }

    /** The first place of a class that has not vanished; 0 where all have. */
    int firstClassBut(Set<Integer> vanished) {
        int place = 0;
        while (place < classes.size() && vanished.contains(place)) {
            place++;
        }
        return place < classes.size() ? place : 0;
    }

    /** The same with other classes, by place. */
    public RoutingSettings withClasses(List<QueryClass> newClasses) {
        return new RoutingSettings(gatherers, position, zone, roundInterval, watchOnRequest, newClasses, tenants,
                overQuotaWeight, weightByWork, clientsMarkRetries, layout, limits, rules, costs);
    }

    /** The same with other limits. */
    public RoutingSettings withLimits(PlatformLimits newLimits) {
        return new RoutingSettings(gatherers, position, zone, roundInterval, watchOnRequest, classes, tenants,
                overQuotaWeight, weightByWork, clientsMarkRetries, layout, newLimits, rules, costs);
    }

    /** The same with another number of retries that are always allowed. */
    public RoutingSettings withRetryBudgetMinimum(double minimum) {
        PlatformRules r = rules;
        var newRules = new PlatformRules(r.answerGrace(), r.drainGrace(), r.slowStartShare(), r.slowStartWindow(),
                r.overloadMultiple(), r.overloadWindow(), r.pollWithin(), r.retryBudgetWindow(), minimum,
                r.retryBudgetRatio());
        return new RoutingSettings(gatherers, position, zone, roundInterval, watchOnRequest, classes, tenants,
                overQuotaWeight, weightByWork, clientsMarkRetries, layout, limits, newRules, costs);
    }

    /** The same for workers that hold shards in another layout. */
    public RoutingSettings withLayout(ShardLayout newLayout) {
        return new RoutingSettings(gatherers, position, zone, roundInterval, watchOnRequest, classes, tenants,
                overQuotaWeight, weightByWork, clientsMarkRetries, newLayout, limits, rules, costs);
    }
}

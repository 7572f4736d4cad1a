package wallmoor.decision;

import java.util.List;
import java.util.Set;

/**
 * The settings of one gatherer's policy. Times are in microseconds.
 *
 * @param gatherers          number of gatherers that share the workers, this one included
 * @param position           this gatherer's position among them, from 0
 * @param zone               this gatherer's availability zone
 * @param roundInterval      minimum time between two rounds of events
 * @param watchOnRequest     whether changes of the worker list are delivered only after a request
 * @param classes            the classes of queries; a class is identified by its index here
 * @param tenants            the tenants; a tenant is identified by its index here
 * @param overQuotaWeight    factor on the priority weight of queries above their tenant's quota
 * @param weightByWork       whether a query's weight is divided by the share of its parts that it needs, instead of by
 *                           their number
 * @param clientsMarkRetries whether clients mark queries that are retries
 * @param layout             which cells hold which shards
 * @param limits             the limits that the platform imposes
 * @param rules              the rules that the platform checks
 * @param costs              the costs that influence decisions
 */
public record RoutingSettings(int gatherers, int position, int zone, long roundInterval, boolean watchOnRequest,
        List<QueryClass> classes, List<Tenant> tenants, double overQuotaWeight, boolean weightByWork,
        boolean clientsMarkRetries, ShardLayout layout, PlatformLimits limits, PlatformRules rules, CostModel costs) {

    /**
     * Returns the window over which the parts sent to a worker in slow start are counted: the overload window, plus a
     * round and a connect timeout, because parts that wait for a connection reach the worker together.
     */
    long slowStartCountWindow() {
        return rules.overloadWindow() + roundInterval + Math.max(0, limits.connectTimeout());
    }

    /** Returns these settings with another number of gatherers and another position. */
    public RoutingSettings withGatherers(int count, int newPosition) {
        return new RoutingSettings(count, newPosition, zone, roundInterval, watchOnRequest, classes, tenants,
                overQuotaWeight, weightByWork, clientsMarkRetries, layout, limits, rules, costs);
    }

    /**
     * Returns the settings in force after a reload: the new ones, except for those that can't change after the start,
     * which are the gatherers, the layout, the tenants, and the windows over which counts are summed.
     */
    RoutingSettings reloadedWith(RoutingSettings newSettings) {
        PlatformRules newRules = newSettings.rules;
        var mergedRules = new PlatformRules(newRules.answerGrace(), newRules.drainGrace(), newRules.slowStartShare(),
                newRules.slowStartWindow(), newRules.overloadMultiple(), rules.overloadWindow(), newRules.pollWithin(),
                rules.retryBudgetWindow(), newRules.retryBudgetMinimum(), newRules.retryBudgetRatio());
        return new RoutingSettings(gatherers, position, zone, roundInterval, watchOnRequest, newSettings.classes,
                tenants, newSettings.overQuotaWeight, newSettings.weightByWork, newSettings.clientsMarkRetries, layout,
                newSettings.limits, mergedRules, newSettings.costs);
    }

    /** Returns the index of the first class that is not excluded, or 0 if all are. */
    int firstClassExcept(Set<Integer> excluded) {
        int classIndex = 0;
        while (classIndex < classes.size() && excluded.contains(classIndex)) {
            classIndex++;
        }
        return classIndex < classes.size() ? classIndex : 0;
    }

    /** Returns these settings with other classes, by index. */
    public RoutingSettings withClasses(List<QueryClass> newClasses) {
        return new RoutingSettings(gatherers, position, zone, roundInterval, watchOnRequest, newClasses, tenants,
                overQuotaWeight, weightByWork, clientsMarkRetries, layout, limits, rules, costs);
    }

    /** Returns these settings with other limits. */
    public RoutingSettings withLimits(PlatformLimits newLimits) {
        return new RoutingSettings(gatherers, position, zone, roundInterval, watchOnRequest, classes, tenants,
                overQuotaWeight, weightByWork, clientsMarkRetries, layout, newLimits, rules, costs);
    }

    /** Returns these settings with another number of retries that are always allowed. */
    public RoutingSettings withRetryBudgetMinimum(double minimum) {
        PlatformRules old = rules;
        var newRules = new PlatformRules(old.answerGrace(), old.drainGrace(), old.slowStartShare(),
                old.slowStartWindow(), old.overloadMultiple(), old.overloadWindow(), old.pollWithin(),
                old.retryBudgetWindow(), minimum, old.retryBudgetRatio());
        return new RoutingSettings(gatherers, position, zone, roundInterval, watchOnRequest, classes, tenants,
                overQuotaWeight, weightByWork, clientsMarkRetries, layout, limits, newRules, costs);
    }

    /** Returns these settings with another layout. */
    public RoutingSettings withLayout(ShardLayout newLayout) {
        return new RoutingSettings(gatherers, position, zone, roundInterval, watchOnRequest, classes, tenants,
                overQuotaWeight, weightByWork, clientsMarkRetries, newLayout, limits, rules, costs);
    }
}

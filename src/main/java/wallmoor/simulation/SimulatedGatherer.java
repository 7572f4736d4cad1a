package wallmoor.simulation;

import wallmoor.rules.LeaseHolder;
import wallmoor.rules.LeaseMessage.LeaseDenial;
import wallmoor.rules.LeaseMessage.LeaseGrant;
import wallmoor.rules.LeaseMessage.LeaseRequest;
import wallmoor.rules.LeaseMessage.VersionUpdate;

/** A simulated gatherer: the real {@link LeaseHolder}, its simulated disk, and the voter that it presumes to lead. */
final class SimulatedGatherer implements SimulatedCluster.SimulatedProcess {
    private final RuleSimulation simulation;
    private final int node;
    private final LeaseHolder holder;
    private int presumedLeader;
    /** Whether the presumed leader has answered the last lease request. */
    private boolean isAnswered = true;

    SimulatedGatherer(RuleSimulation simulation, int node, int incarnation) {
        this.simulation = simulation;
        this.node = node;
        holder = new LeaseHolder(RuleSimulation.nameOf(node), incarnation, simulation.timing(), simulation.schemas(),
                simulation.storedVersions(node));
    }

    LeaseHolder holder() {
        return holder;
    }

    @Override
    public void onMessage(long now, int from, Object message) {
        LeaseRequest request = null;
        if (message instanceof LeaseGrant grant) {
            isAnswered = true;
            presumedLeader = from;
            request = holder.onGrant(now, grant);
        } else if (message instanceof VersionUpdate update) {
            presumedLeader = from;
            request = holder.onVersionUpdate(now, update);
        } else if (message instanceof LeaseDenial denial) {
            simulation.countDenial();
            holder.onDenial(denial);
        }
        send(request);
        simulation.storeVersions(node, holder.knownVersions());
    }

    @Override
    public void onTick(long now) {
        LeaseRequest request = holder.onTick(now);
        if (request != null && !isAnswered) { // no answer to the last request: try the next voter
            presumedLeader = (presumedLeader + 1) % simulation.voterCount();
        }
        send(request);
    }

    private void send(LeaseRequest request) {
        if (request != null) {
            isAnswered = false;
            simulation.cluster().send(node, presumedLeader, request);
        }
    }
}

package wallmoor.peers;

import java.util.List;
import wallmoor.peers.MembershipUpdate.Announcement;

/** The common part of the baseline protocols: they know all members from the start and never leave. */
abstract class BaselineProtocol implements MembershipProtocol {
    final MembershipParameters parameters;
    final Output output;
    /** This member's own announcement. */
    Announcement self;
    private GroupView view;

    BaselineProtocol(Announcement self, MembershipParameters parameters, Output output) {
        this.self = self;
        this.parameters = parameters;
        this.output = output;
    }

    @Override
    public final void leave(long now) {
        throw new UnsupportedOperationException();
    }

    @Override
    public final GroupView view() {
        return view;
    }

    /** Publishes a new view if its members differ from those of the last view. */
    final void publish(List<GroupView.Member> members) {
        if (view == null || !view.members().equals(members)) {
            view = new GroupView(view == null ? 1 : view.version() + 1, GroupView.PartitionSide.CANT_TELL,
                    members.size(), parameters.groupSize(), members);
            output.viewChanged(view, "");
        }
    }
}

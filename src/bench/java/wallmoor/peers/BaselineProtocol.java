package wallmoor.peers;

import java.util.List;

/** What the ways have in common that are measured beside ours: they know all members from the start and never leave. */
abstract class BaselineProtocol implements MembershipProtocol {
    final MembershipParameters rules;
    final Output actions;
    /** This member's own news. */
    MembershipUpdate.Announcement self;
    private GroupView view;

    BaselineProtocol(MembershipUpdate.Announcement self, MembershipParameters rules, Output actions) {
        this.self = self;
        this.rules = rules;
        this.actions = actions;
    }

    @Override
    public final void leave(long now) {
        throw new UnsupportedOperationException();
    }

    @Override
    public final GroupView view() {
        return view;
    }

    /** These are held of all members now: a view of its own if the last one holds others. */
    final void hold(List<GroupView.Member> members) {
        if (view == null || !view.members().equals(members)) {
            view = new GroupView(view == null ? 1 : view.version() + 1, GroupView.PartitionSide.CANT_TELL,
                    members.size(),
                    rules.groupSize(), members);
            actions.viewChanged(view, "");
        }
    }
}

package wallmoor.peers;

import java.util.List;

/** What the ways have in common that are measured beside ours: they know all members from the start and never leave. */
abstract class Baseline implements Decider {
    final Rules rules;
    final Actions actions;
    /** This member's own news. */
    News.Told self;
    private View view;

    Baseline(News.Told self, Rules rules, Actions actions) {
        this.self = self;
        this.rules = rules;
        this.actions = actions;
    }

    @Override
    public final void leave(long now) {
        throw new UnsupportedOperationException();
    }

    @Override
    public final View view() {
        return view;
    }

    /** These are held of all members now: a view of its own if the last one holds others. */
    final void hold(List<View.Member> members) {
        if (view == null || !view.members().equals(members)) {
            view = new View(view == null ? 1 : view.version() + 1, View.Standing.CANT_TELL, members.size(),
                    rules.size(), members);
            actions.changed(view, "");
        }
    }
}

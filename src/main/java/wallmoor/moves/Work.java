package wallmoor.moves;

import java.util.List;
import wallmoor.moves.Held.Status;
import wallmoor.moves.Said.Verdict;

/**
 * One move at one stage: what to ask next, and what an answer means. It keeps nothing that the plan or a node would not
 * say again: whoever leads after a crash makes it anew.
 */
final class Work {
    /** A copy that was another one so often is given up: its target or the way to it spoils what it carries. */
    static final int MOST_ROUNDS = 8;

    /** What is to be asked of whom. */
    record Next(String node, Ask ask) {}

    final Carry carry;
    /** The request that is out, or 0. */
    long out;
    /** No request before this time. */
    long notBefore = Long.MIN_VALUE;
    /** Since when nobody has answered; none: {@link Long#MAX_VALUE}. */
    long silent = Long.MAX_VALUE;
    /** What it waits for, for the operator. */
    String waits = "";
    /** What the move is to become; null while that is not known. */
    Carry next;
    /** Whether the move is over. */
    boolean over;

    private final long began;
    private final Settings settings;
    private Next asked;
    private int step;
    private long bytes;
    private int lacking = -1;
    private long chunkBytes;
    private List<String> sums = List.of();
    private boolean discarded;
    private boolean unfenced;

    Work(Carry carry, Settings settings, long now) {
        this.carry = carry;
        this.settings = settings;
        this.began = now;
        unfenced = !carry.fenced(); // its source was never asked to be
    }

    /** How much of the copy is there, as a share, as far as it was told. */
    double there() {
        return bytes == 0 ? 0 : 1 - Math.min(1, (double) lacking * chunkBytes / bytes);
    }

    /** What to ask now; null where nothing. */
    Next next(long now, State state, Pace pace, long usable) {
        if (out != 0 || now < notBefore || next != null || over) {
            return null;
        }
        asked = decide(now, state, pace, usable);
        return asked;
    }

    private Next decide(long now, State state, Pace pace, long usable) {
        switch (carry.stage()) {
            case PREPARE :
                return step == 0 ? new Next(carry.from(), new Ask.Look())
                        : new Next(carry.to(), new Ask.Prepare(bytes, chunk(), carry.mb(), usable));
            case COPY :
                if (step == 0) {
                    return new Next(carry.to(), new Ask.Look());
                }
                if (state.paused() && !carry.fenced()) {
                    waits = "paused";
                    return null;
                }
                return pace.take(now, chunkBytes) ? new Next(carry.to(), new Ask.Pull(carry.from(), step - 1, usable))
                        : null;
            case CONFIRM :
            case HAND :
                if (step == 0) {
                    return new Next(carry.to(), new Ask.Look()); // tells the size of its chunks
                }
                return step == 1 ? new Next(carry.from(), carry.stage() == Stage.HAND ? new Ask.Fence(chunk())
                        : new Ask.Sums(chunk())) : new Next(carry.to(), new Ask.Seal(sums));
            case JOIN :
                return new Next(carry.to(), new Ask.Admit());
            case SETTLE :
                if (now - began >= settings.settle()) {
                    next = carry.at(Stage.FORGET);
                }
                waits = "for queries that began before";
                return null;
            case FORGET :
                return step == 0 ? new Next(carry.to(), new Ask.Look()) : new Next(carry.from(), new Ask.Drop());
            case BACK :
                unfenced |= !state.goal().has(carry.from());
                discarded |= !state.goal().has(carry.to()); // gone for good, the operator says
                over = unfenced && discarded;
                return over ? null
                        : !unfenced && (step % 2 == 0 || discarded) ? new Next(carry.from(), new Ask.Unfence())
                                : new Next(carry.to(), new Ask.Discard());
            default :
                return null;
        }
    }

    private int chunk() {
        return (int) Math.max(chunkBytes > 0 ? chunkBytes : settings.chunk(),
                (bytes + Shelf.MOST_CHUNKS - 1) / Shelf.MOST_CHUNKS);
    }

    /** The node did not answer, or could not do it now. */
    void failed(long now, String why) {
        out = 0;
        notBefore = now + settings.again();
        waits = asked.node() + ": " + why;
        silent = Math.min(silent, now);
        if (carry.stage() == Stage.BACK) {
            step++; // the other need not wait for this one
        } else if (carry.stage().early() && now - silent >= settings.patience()) {
            back(waits);
        }
    }

    void answered(long now, Said said, long usable) {
        out = 0;
        waits = "";
        if (said.verdict() == Verdict.OLD) {
            notBefore = now + settings.again(); // somebody has gone on: the version will come
            waits = "a newer version is out";
            return;
        }
        if (said.verdict() == Verdict.NO_SOURCE) {
            failed(now, "does not get it from " + carry.from());
            return;
        }
        silent = Long.MAX_VALUE;
        Held held = said.held();
        if (asked.node().equals(carry.to()) && carry.stage().early()) {
            if (said.verdict() == Verdict.NO_ROOM || held.status() != Status.ABSENT && !said.room().fits(0, usable)) {
                back(carry.to() + " has no room any more");
                return;
            }
        }
        if (said.verdict() == Verdict.WRONG && carry.stage().early()) {
            back(asked.node() + " holds " + held.status() + " where " + asked.ask() + " was asked");
            return;
        }
        take(now, said, held);
    }

    private void take(long now, Said said, Held held) {
        switch (carry.stage()) {
            case PREPARE :
                if (step == 1) {
                    next = carry.at(Stage.COPY);
                } else if (held.status() != Status.OWNER) {
                    back(carry.from() + " does not hold it");
                } else {
                    bytes = held.bytes();
                    step = 1;
                }
                break;
            case COPY :
                copied(held);
                break;
            case CONFIRM :
            case HAND :
                confirmed(said, held);
                break;
            case JOIN :
                if (held.status() == Status.OWNER) {
                    next = carry.at(Stage.SETTLE);
                } else {
                    stuck(now, carry.to() + " lost its copy; bring its disk back");
                }
                break;
            case FORGET :
                if (step == 0 && held.status() == Status.OWNER) {
                    step = 1;
                } else if (step == 1 && held.status() == Status.ABSENT) {
                    over = true;
                } else {
                    stuck(now, asked.node() + " holds " + held.status() + "; nothing is dropped until " + carry.to()
                            + " owns a whole copy");
                }
                break;
            case BACK :
                if (asked.ask() instanceof Ask.Unfence) {
                    unfenced = true;
                } else {
                    discarded = true;
                }
                step++;
                over = unfenced && discarded;
                break;
            default :
        }
    }

    private void copied(Held held) {
        size(held);
        if (held.status() == Status.ABSENT) {
            back(carry.to() + " lost its copy");
        } else if (held.missing().isEmpty()) {
            next = carry.at(carry.fenced() ? Stage.HAND : Stage.CONFIRM);
        } else {
            step = held.missing().first() + 1;
        }
    }

    private void confirmed(Said said, Held held) {
        if (step == 0) {
            size(held);
            if (held.status() == Status.ABSENT) {
                back(carry.to() + " lost its copy");
                return;
            }
            step = 1;
        } else if (step == 1) {
            sums = said.sums();
            step = 2;
        } else if (held.status() == Status.SEALED) {
            next = carry.at(carry.stage() == Stage.HAND ? Stage.JOIN : Stage.HAND);
        } else if (carry.rounds() + 1 >= MOST_ROUNDS) {
            back("what " + carry.to() + " has was another one " + MOST_ROUNDS + " times");
        } else {
            next = carry.again();
        }
    }

    private void size(Held held) {
        bytes = held.bytes();
        chunkBytes = held.chunk();
        lacking = held.missing().size();
    }

    private void back(String why) {
        waits = why;
        next = carry.at(Stage.BACK);
    }

    private void stuck(long now, String why) {
        step = 0;
        waits = why;
        notBefore = now + settings.again();
    }
}

package wallmoor.migration;

import java.util.List;
import wallmoor.migration.ReplicaRecord.ReplicaState;
import wallmoor.migration.ReplicaResponse.ResponseCode;

/**
 * One move at one stage: what to ask next, and what an answer means. It keeps nothing that the plan or a node would not
 * say again: whoever leads after a crash makes it anew.
 */
final class MigrationTask {
    /** A copy that was another one so often is given up: its target or the way to it spoils what it carries. */
    static final int MOST_ROUNDS = 8;

    /** What is to be asked of whom. */
    record NextRequest(String node, ReplicaRequest ask) {}

    final Migration carry;
    /** The request that is out, or 0. */
    long out;
    /** No request before this time. */
    long notBefore = Long.MIN_VALUE;
    /** Since when nobody has answered; none: {@link Long#MAX_VALUE}. */
    long silent = Long.MAX_VALUE;
    /** What it waits for, for the operator. */
    String waits = "";
    /** What the move is to become; null while that is not known. */
    Migration next;
    /** Whether the move is over. */
    boolean over;

    private final long began;
    private final MigrationSettings settings;
    private NextRequest asked;
    private int step;
    private long bytes;
    private int lacking = -1;
    private long chunkBytes;
    private List<String> sums = List.of();
    private boolean discarded;
    private boolean unfenced;

    MigrationTask(Migration carry, MigrationSettings settings, long now) {
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
    NextRequest next(long now, MigrationPlan state, CopyRateLimiter pace, long usable) {
        if (out != 0 || now < notBefore || next != null || over) {
            return null;
        }
        asked = decide(now, state, pace, usable);
        return asked;
    }

    private NextRequest decide(long now, MigrationPlan state, CopyRateLimiter pace, long usable) {
        switch (carry.stage()) {
            case PREPARE :
                return step == 0 ? new NextRequest(carry.from(), new ReplicaRequest.ReadReplica())
                        : new NextRequest(carry.to(),
                                new ReplicaRequest.ReserveSpace(bytes, chunk(), carry.sizeMb(), usable));
            case COPY :
                if (step == 0) {
                    return new NextRequest(carry.to(), new ReplicaRequest.ReadReplica());
                }
                if (state.paused() && !carry.fenced()) {
                    waits = "paused";
                    return null;
                }
                return pace.tryAcquire(now, chunkBytes)
                        ? new NextRequest(carry.to(), new ReplicaRequest.FetchChunk(carry.from(), step - 1, usable))
                        : null;
            case CONFIRM :
            case HAND :
                if (step == 0) {
                    // tells the size of its chunks
                    return new NextRequest(carry.to(), new ReplicaRequest.ReadReplica());
                }
                return step == 1
                        ? new NextRequest(carry.from(),
                                carry.stage() == MigrationStage.HAND ? new ReplicaRequest.Fence(chunk())
                                        : new ReplicaRequest.ComputeChecksums(chunk()))
                        : new NextRequest(carry.to(), new ReplicaRequest.Seal(sums));
            case JOIN :
                return new NextRequest(carry.to(), new ReplicaRequest.TakeOwnership());
            case SETTLE :
                if (now - began >= settings.settleMicros()) {
                    next = carry.withStage(MigrationStage.FORGET);
                }
                waits = "for queries that began before";
                return null;
            case FORGET :
                return step == 0 ? new NextRequest(carry.to(), new ReplicaRequest.ReadReplica())
                        : new NextRequest(carry.from(), new ReplicaRequest.DropReplica());
            case BACK :
                unfenced |= !state.target().hasNode(carry.from());
                discarded |= !state.target().hasNode(carry.to()); // gone for good, the operator says
                over = unfenced && discarded;
                return over ? null
                        : !unfenced && (step % 2 == 0 || discarded)
                                ? new NextRequest(carry.from(), new ReplicaRequest.Unfence())
                                : new NextRequest(carry.to(), new ReplicaRequest.DiscardCopy());
            default :
                return null;
        }
    }

    private int chunk() {
        return (int) Math.max(chunkBytes > 0 ? chunkBytes : settings.chunkBytes(),
                (bytes + ReplicaStateMachine.MAX_CHUNKS - 1) / ReplicaStateMachine.MAX_CHUNKS);
    }

    /** The node did not answer, or could not do it now. */
    void failed(long now, String why) {
        out = 0;
        notBefore = now + settings.retryMicros();
        waits = asked.node() + ": " + why;
        silent = Math.min(silent, now);
        if (carry.stage() == MigrationStage.BACK) {
            step++; // the other need not wait for this one
        } else if (carry.stage().isRevocable() && now - silent >= settings.silenceTimeoutMicros()) {
            back(waits);
        }
    }

    void answered(long now, ReplicaResponse said, long usable) {
        out = 0;
        waits = "";
        if (said.code() == ResponseCode.OLD) {
            notBefore = now + settings.retryMicros(); // somebody has gone on: the version will come
            waits = "a newer version is out";
            return;
        }
        if (said.code() == ResponseCode.NO_SOURCE) {
            failed(now, "does not get it from " + carry.from());
            return;
        }
        silent = Long.MAX_VALUE;
        ReplicaRecord held = said.replica();
        if (asked.node().equals(carry.to()) && carry.stage().isRevocable()) {
            if (said.code() == ResponseCode.NO_ROOM
                    || held.state() != ReplicaState.ABSENT && !said.space().fits(0, usable)) {
                back(carry.to() + " has no room any more");
                return;
            }
        }
        if (said.code() == ResponseCode.WRONG && carry.stage().isRevocable()) {
            back(asked.node() + " holds " + held.state() + " where " + asked.ask() + " was asked");
            return;
        }
        take(now, said, held);
    }

    private void take(long now, ReplicaResponse said, ReplicaRecord held) {
        switch (carry.stage()) {
            case PREPARE :
                if (step == 1) {
                    next = carry.withStage(MigrationStage.COPY);
                } else if (held.state() != ReplicaState.OWNER) {
                    back(carry.from() + " does not hold it");
                } else {
                    bytes = held.sizeBytes();
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
                if (held.state() == ReplicaState.OWNER) {
                    next = carry.withStage(MigrationStage.SETTLE);
                } else {
                    stuck(now, carry.to() + " lost its copy; bring its disk back");
                }
                break;
            case FORGET :
                if (step == 0 && held.state() == ReplicaState.OWNER) {
                    step = 1;
                } else if (step == 1 && held.state() == ReplicaState.ABSENT) {
                    over = true;
                } else {
                    stuck(now, asked.node() + " holds " + held.state() + "; nothing is dropped until " + carry.to()
                            + " owns a whole copy");
                }
                break;
            case BACK :
                if (asked.ask() instanceof ReplicaRequest.Unfence) {
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

    private void copied(ReplicaRecord held) {
        size(held);
        if (held.state() == ReplicaState.ABSENT) {
            back(carry.to() + " lost its copy");
        } else if (held.missingChunks().isEmpty()) {
            next = carry.withStage(carry.fenced() ? MigrationStage.HAND : MigrationStage.CONFIRM);
        } else {
            step = held.missingChunks().first() + 1;
        }
    }

    private void confirmed(ReplicaResponse said, ReplicaRecord held) {
        if (step == 0) {
            size(held);
            if (held.state() == ReplicaState.ABSENT) {
                back(carry.to() + " lost its copy");
                return;
            }
            step = 1;
        } else if (step == 1) {
            sums = said.checksums();
            step = 2;
        } else if (held.state() == ReplicaState.SEALED) {
            next = carry.withStage(carry.stage() == MigrationStage.HAND ? MigrationStage.JOIN : MigrationStage.HAND);
        } else if (carry.copyRounds() + 1 >= MOST_ROUNDS) {
            back("what " + carry.to() + " has was another one " + MOST_ROUNDS + " times");
        } else {
            next = carry.copyingAgain();
        }
    }

    private void size(ReplicaRecord held) {
        bytes = held.sizeBytes();
        chunkBytes = held.chunkBytes();
        lacking = held.missingChunks().size();
    }

    private void back(String why) {
        waits = why;
        next = carry.withStage(MigrationStage.BACK);
    }

    private void stuck(long now, String why) {
        step = 0;
        waits = why;
        notBefore = now + settings.retryMicros();
    }
}

package wallmoor.signals;

import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * SIGHUP, which unhandled would end the program. The platform's only API for signals is one that the compiler warns of
 * whatever it is told. So this is compiled by itself, where warnings are no errors: a proxy made as the program runs
 * would need no such thing, but costs each start a twelfth of its processor time.
 */
public final class HangUp implements SignalHandler {
    private final Runnable action;

    private HangUp(Runnable action) {
        this.action = action;
    }

    /**
     * From now on this is run at each SIGHUP, on a thread of its own; fails where the signal is not to be had.
     *
     * @return whether it will be: where the process was started with SIGHUP ignored, as by nohup, it stays so
     */
    public static boolean register(Runnable action) {
        return Signal.handle(new Signal("HUP"), new HangUp(action)) != SignalHandler.SIG_IGN;
    }

    @Override
    public void handle(Signal signal) {
        action.run();
    }
}

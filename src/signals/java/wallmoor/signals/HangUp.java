package wallmoor.signals;

import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * A handler of SIGHUP, whose default action ends the program. The compiler warns of the JDK's only API for signals, and
 * the warning can't be suppressed; therefore this class is compiled in a step of its own, in which warnings are not
 * errors. A dynamic proxy would avoid that step, but takes a twelfth of the processor time of each start.
 */
public final class HangUp implements SignalHandler {
    private final Runnable action;

    private HangUp(Runnable action) {
        this.action = action;
    }

    /**
     * Registers an action that runs at each SIGHUP, on a thread of its own.
     *
     * @return whether the action will run; it won't if the process was started with SIGHUP ignored, as by nohup
     * @throws IllegalArgumentException if the signal can't be handled on this platform
     */
    public static boolean register(Runnable action) {
        return Signal.handle(new Signal("HUP"), new HangUp(action)) != SignalHandler.SIG_IGN;
    }

    @Override
    public void handle(Signal signal) {
        action.run();
    }
}

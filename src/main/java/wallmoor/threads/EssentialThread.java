package wallmoor.threads;

/** A thread that the process can't work without: {@link ThreadFailureHandler} ends the process if it fails. */
final class EssentialThread extends Thread {
    EssentialThread(String name, Runnable work, long stackBytes) {
        super(null, work, name, stackBytes);
    }
}

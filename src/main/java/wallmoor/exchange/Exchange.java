package wallmoor.exchange;

/** One query of a device, from its first byte to its being forgotten. Changed by {@link Exchanges} alone. */
public final class Exchange {
    enum State { UPLOADING, OUT, ENDED }

    final Key key;
    State state;
    long digest;
    /** Two more words of the body's hash: 192 bits tell bodies apart. */
    long digest2;
    long digest3;
    boolean mayRepeat;
    int waiting;
    long unheardSince;
    boolean cancelling;
    Outcome outcome;
    long until;
    /** Bytes that are set aside for it, of the device's and of all. */
    long reserved;
    byte[] upload;
    int uploaded;

    Exchange(Key key) {
        this.key = key;
    }

    /** Whose it is. */
    public Key key() {
        return key;
    }

    /** Whether it may be run again. */
    public boolean mayRepeat() {
        return mayRepeat;
    }

    /** The outcome, or null while there is none. */
    public Outcome outcome() {
        return outcome;
    }
}

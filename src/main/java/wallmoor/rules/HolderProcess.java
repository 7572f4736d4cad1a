package wallmoor.rules;

/**
 * One process of a lease holder: leases of an earlier process of the same name are not its own.
 *
 * @param incarnation differs between two processes of one name
 */
record HolderProcess(String holder, long incarnation) {
    /** Returns the process that sent a request. */
    static HolderProcess of(LeaseMessage.LeaseRequest request) {
        return new HolderProcess(request.holder(), request.incarnation());
    }
}

package wallmoor.rules;

/**
 * One process of a lease holder. It does not own the leases of an earlier process with the same name.
 *
 * @param holder      name of the lease holder
 * @param incarnation number that differs between two processes of the same name
 */
record HolderProcess(String holder, long incarnation) {
    /** Returns the process that sent a request. */
    static HolderProcess of(LeaseMessage.LeaseRequest request) {
        return new HolderProcess(request.holder(), request.incarnation());
    }
}

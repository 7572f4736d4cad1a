package wallmoor.peers;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Which members are not heard by the group, from who accuses whom: those that more than half of their observers accuse.
 * The word of such a member counts no more, neither for nor against others, and those that the most of their observers
 * accuse go first: so many dead ones don't vouch for each other by their silence, and a few that hear nobody, and
 * accuse all, are found out before they could be believed, or never are believed.
 */
final class UnreachableMembers {
    /**
     * Who is said of a member.
     *
     * @param suspectedBy        observers that accuse it
     * @param observers all that observe it, the accusers included
     */
    record SuspectedMember(Set<String> suspectedBy, Set<String> observers) {}

    private UnreachableMembers() {}

    /** Those of the accused that are not heard. */
    static Set<String> of(Map<String, SuspectedMember> accused) {
        var unheard = new HashSet<String>();
        while (true) {
            var worst = new HashSet<String>();
            long by = 1;
            long of = 2; // more than half is asked for
            for (var e : accused.entrySet()) {
                if (unheard.contains(e.getKey())) {
                    continue;
                }
                long itsBy = counting(e.getValue().suspectedBy, unheard);
                long itsOf = counting(e.getValue().observers, unheard);
                long more = itsBy * of - by * itsOf; // of two shares
                if (more > 0) {
                    worst.clear();
                    by = itsBy;
                    of = itsOf;
                }
                if (more > 0 || more == 0 && !worst.isEmpty()) {
                    worst.add(e.getKey());
                }
            }
            if (worst.isEmpty()) {
                return unheard;
            }
            unheard.addAll(worst);
        }
    }

    private static int counting(Set<String> names, Set<String> unheard) {
        int n = 0;
        for (String name : names) {
            n += unheard.contains(name) ? 0 : 1;
        }
        return n;
    }
}

package wallmoor.peers;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Which members the group does not hear: those that more than half of their observers suspect. The word of such a
 * member no longer counts, neither for nor against others, and those that the largest share of their observers suspects
 * go first: so many dead ones don't vouch for each other by their silence, and a few that hear nobody, and suspect all,
 * are found out before they are believed, or never are believed.
 */
final class UnreachableMembers {
    /**
     * Who suspects a member.
     *
     * @param suspectedBy observers that suspect it
     * @param observers   all that observe it, the suspecting ones included
     */
    record SuspectedMember(Set<String> suspectedBy, Set<String> observers) {}

    private UnreachableMembers() {}

    /** Those of the suspected members that are unreachable. */
    static Set<String> of(Map<String, SuspectedMember> suspected) {
        var unreachable = new HashSet<String>();
        while (true) {
            Set<String> next = mostSuspected(suspected, unreachable);
            if (next.isEmpty()) {
                return unreachable;
            }
            unreachable.addAll(next);
        }
    }

    /** Those that the largest share of credible observers suspects, where it is more than half; none otherwise. */
    private static Set<String> mostSuspected(Map<String, SuspectedMember> suspected, Set<String> unreachable) {
        var most = new HashSet<String>();
        long numerator = 1; // of the share to beat
        long denominator = 2;
        for (var member : suspected.entrySet()) {
            if (unreachable.contains(member.getKey())) {
                continue;
            }
            long suspecting = countCredible(member.getValue().suspectedBy(), unreachable);
            long observing = countCredible(member.getValue().observers(), unreachable);
            long difference = suspecting * denominator - numerator * observing;
            if (difference > 0) {
                most.clear();
                numerator = suspecting;
                denominator = observing;
            }
            if (difference > 0 || (difference == 0 && !most.isEmpty())) {
                most.add(member.getKey());
            }
        }
        return most;
    }

    private static int countCredible(Set<String> observers, Set<String> unreachable) {
        int count = 0;
        for (String name : observers) {
            count += unreachable.contains(name) ? 0 : 1;
        }
        return count;
    }
}

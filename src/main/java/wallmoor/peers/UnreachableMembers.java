package wallmoor.peers;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Computes which suspected members are unreachable: those that more than half of their credible observers suspect. An
 * observer is credible unless it is unreachable itself; the reports of an unreachable observer count neither for nor
 * against others. Members with the largest share of suspecting observers are classified first. So several dead members
 * that observe each other are not taken for alive because they report nothing, and a few members that receive nothing
 * and suspect everybody are classified as unreachable before their suspicions count.
 */
final class UnreachableMembers {
    /**
     * The observers of a suspected member.
     *
     * @param suspectedBy observers that suspect it
     * @param observers   all its observers, including the suspecting ones
     */
    record SuspectedMember(Set<String> suspectedBy, Set<String> observers) {}

    private UnreachableMembers() {}

    /** Returns the names of the suspected members that are unreachable. */
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

    /**
     * Returns the members with the largest share of credible observers that suspect them, or an empty set if no share
     * is more than half. Members that are already in {@code unreachable} are skipped.
     */
    private static Set<String> mostSuspected(Map<String, SuspectedMember> suspected, Set<String> unreachable) {
        var mostSuspected = new HashSet<String>();
        long largestNumerator = 1; // the largest share so far as a fraction, which begins at one half
        long largestDenominator = 2;
        for (var member : suspected.entrySet()) {
            if (unreachable.contains(member.getKey())) {
                continue;
            }
            long suspecting = countCredible(member.getValue().suspectedBy(), unreachable);
            long observing = countCredible(member.getValue().observers(), unreachable);
            long difference = suspecting * largestDenominator - largestNumerator * observing;
            if (difference > 0) {
                mostSuspected.clear();
                largestNumerator = suspecting;
                largestDenominator = observing;
            }
            if (difference > 0 || (difference == 0 && !mostSuspected.isEmpty())) {
                mostSuspected.add(member.getKey());
            }
        }
        return mostSuspected;
    }

    private static int countCredible(Set<String> observers, Set<String> unreachable) {
        int count = 0;
        for (String name : observers) {
            count += unreachable.contains(name) ? 0 : 1;
        }
        return count;
    }
}

package wallmoor.maintenance;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/** Which machines come before which. A pin to a machine without a wish that is not done stands for nothing. */
final class Pins {
    private final Map<String, Standing> of = new HashMap<>();
    private final Map<String, TreeSet<String>> first = new TreeMap<>();

    private Pins() {}

    /**
     * Those of all standings; of several of one machine the one that is not over counts, else the first that is not
     * done.
     */
    static Pins of(List<Standing> all) {
        var pins = new Pins();
        for (Standing s : all) {
            pins.of.merge(s.wish().machine(), s, (a, b) -> rank(b) < rank(a) ? b : a);
        }
        pins.of.forEach((machine, s) -> {
            s.wish().after().forEach(a -> pins.pin(a, machine));
            if (s.step() != Step.GIVEN_UP && s.step() != Step.REFUSED) {
                s.wish().before().forEach(b -> pins.pin(machine, b)); // one that won't be done has no say over others
            }
        });
        return pins;
    }

    private static int rank(Standing s) {
        return !s.step().over() ? 0 : s.step() == Step.DONE ? 2 : 1;
    }

    private void pin(String a, String b) {
        if (of.containsKey(a) && of.containsKey(b)) {
            first.computeIfAbsent(b, k -> new TreeSet<>()).add(a);
        }
    }

    /** Machines that must be done before this wish's, whatever has become of them. */
    List<String> before(String machine) {
        return first.containsKey(machine) ? List.copyOf(first.get(machine)) : List.of();
    }

    /** Machines that must be done before and are not yet. */
    List<String> open(Wish wish) {
        return before(wish.machine()).stream().filter(a -> of.get(a).step() != Step.DONE).toList();
    }

    /** Machines that must be done before and will not be by themselves. */
    List<String> dead(Wish wish) {
        return first(wish, Step.REFUSED, Step.GIVEN_UP, Step.OVERDUE);
    }

    /** Machines that must be done before and can't go on now. */
    List<String> stuck(Wish wish) {
        return first(wish, Step.REFUSED, Step.GIVEN_UP, Step.OVERDUE, Step.HELD);
    }

    private List<String> first(Wish wish, Step... at) {
        return before(wish.machine()).stream().filter(a -> List.of(at).contains(of.get(a).step())).toList();
    }
}

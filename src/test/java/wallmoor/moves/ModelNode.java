package wallmoor.moves;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import wallmoor.moves.Held.Status;
import wallmoor.moves.Said.Verdict;

/**
 * A node on the model: what it keeps on its disk, by the rules that real nodes go by. A chunk's content is a number.
 */
final class ModelNode {
    final String id;
    final long diskMb;
    final Map<String, Held> held = new TreeMap<>();
    final Map<String, int[]> content = new TreeMap<>();
    long otherMb;
    boolean down;
    double load;

    ModelNode(String id, long diskMb) {
        this.id = id;
        this.diskMb = diskMb;
    }

    Held of(String block) {
        return held.getOrDefault(block, Held.NONE);
    }

    Room room() {
        return new Room(diskMb, otherMb, held.values().stream().mapToLong(Held::mb).sum());
    }

    /** All but a pull, which takes time. */
    Said answer(String block, long number, Ask ask) {
        Shelf.Ruling r = Shelf.rule(of(block), number, ask, room(), () -> sums(block));
        if (!block.isEmpty()) {
            keep(block, r.next());
        }
        boolean tells = r.verdict() == Verdict.OK && (ask instanceof Ask.Sums || ask instanceof Ask.Fence);
        return new Said(r.verdict(), r.next(), room(), tells ? sums(block) : List.of(), load,
                ask instanceof Ask.Tell ? held : Map.of());
    }

    /** A chunk has come. */
    Said pulled(String block, long number, int index, int value, long mostMb) {
        Shelf.Ruling r = Shelf.pulled(of(block), number, index, room(), mostMb);
        if (r.verdict() == Verdict.OK) {
            content.get(block)[index] = value;
            keep(block, r.next());
        }
        return new Said(r.verdict(), r.next(), room(), List.of(), load, Map.of());
    }

    private void keep(String block, Held next) {
        Held was = held.put(block, next);
        if (next.status() == Status.ABSENT) {
            content.remove(block);
        } else if (next.status() == Status.FILLING && (was == null || was.status() == Status.ABSENT)) {
            content.put(block, new int[Shelf.chunks(next)]);
        }
    }

    private List<String> sums(String block) {
        var sums = new ArrayList<String>();
        Arrays.stream(content.getOrDefault(block, new int[0])).forEach(v -> sums.add("" + v));
        return sums;
    }
}

package wallmoor.summaries;

import java.util.BitSet;
import java.util.List;
import java.util.function.IntConsumer;
import org.roaringbitmap.RoaringBitmap;

/** Which slots have a box in which cell of a grid over the globe. Boxes themselves are tried after. */
final class SpatialGridIndex {
    /** Degrees: a city's box meets one to four cells. */
    private static final int CELL = 5;
    private static final int COLUMNS = 360 / CELL;
    private static final int ROWS = 180 / CELL;
    /** A box over more cells is not laid into them, and a query over more is not looked up: it is not selective. */
    private static final int MOST = COLUMNS * ROWS / 8;

    private final RoaringBitmap[] cells = new RoaringBitmap[COLUMNS * ROWS];
    private final BitSet everywhere = new BitSet();

    void put(int slot, Summary s) {
        if (s.placeless() || s.boxes().stream().anyMatch(b -> count(b) > MOST)) {
            everywhere.set(slot);
            return;
        }
        s.boxes().forEach(b -> cells(b, c -> {
            cells[c] = cells[c] == null ? new RoaringBitmap() : cells[c];
            cells[c].add(slot);
        }));
    }

    void remove(int slot, List<Box> boxes) {
        everywhere.clear(slot);
        boxes.stream().filter(b -> count(b) <= MOST).forEach(b -> cells(b, c -> {
            if (cells[c] != null) {
                cells[c].remove(slot);
            }
        }));
    }

    void keep(Box box, BitSet candidates) {
        if (count(box) > MOST) {
            return;
        }
        var may = (BitSet) everywhere.clone();
        cells(box, c -> {
            if (cells[c] != null) {
                cells[c].forEach((org.roaringbitmap.IntConsumer) may::set);
            }
        });
        candidates.and(may);
    }

    private static int row(int lat) {
        return Math.max(0, Math.min(ROWS - 1, Math.floorDiv(lat + 90 * Box.DEGREE, CELL * Box.DEGREE)));
    }

    private static int firstColumn(Box b) {
        return (b.west() + Box.ROUND / 2) / (CELL * Box.DEGREE);
    }

    private static int columns(Box b) {
        int last = (int) (((long) b.west() + Box.ROUND / 2 + b.width()) / (CELL * Box.DEGREE));
        return Math.min(COLUMNS, last - firstColumn(b) + 1);
    }

    private static int count(Box b) {
        return columns(b) * (row(b.north()) - row(b.south()) + 1);
    }

    private static void cells(Box b, IntConsumer each) {
        int first = firstColumn(b);
        int columns = columns(b);
        for (int row = row(b.south()); row <= row(b.north()); row++) {
            for (int i = 0; i < columns; i++) {
                each.accept(row * COLUMNS + (first + i) % COLUMNS);
            }
        }
    }

    long bytes() {
        long bytes = 8L * cells.length + everywhere.size() / 8;
        for (RoaringBitmap c : cells) {
            bytes += c == null ? 0 : c.getLongSizeInBytes();
        }
        return bytes;
    }
}

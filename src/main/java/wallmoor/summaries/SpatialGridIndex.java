package wallmoor.summaries;

import java.util.BitSet;
import java.util.List;
import java.util.function.IntConsumer;
import org.roaringbitmap.RoaringBitmap;

/**
 * A grid over the globe with the slots that have a box in each cell. It finds candidates, whose boxes are checked
 * afterwards.
 */
final class SpatialGridIndex {
    /** Side of a cell in degrees; the box of a city overlaps one to four cells. */
    private static final int CELL_DEGREES = 5;
    private static final int COLUMNS = 360 / CELL_DEGREES;
    private static final int ROWS = 180 / CELL_DEGREES;
    /** Maximum cells of a box in the grid or of a query that is looked up; a larger one is not selective. */
    private static final int MAX_CELLS_PER_BOX = COLUMNS * ROWS / 8;

    private final RoaringBitmap[] cells = new RoaringBitmap[COLUMNS * ROWS];
    private final BitSet unselectiveSlots = new BitSet();

    void put(int slot, Summary s) {
        if (s.hasUnlocatedRows() || s.boxes().stream().anyMatch(b -> cellCount(b) > MAX_CELLS_PER_BOX)) {
            unselectiveSlots.set(slot);
            return;
        }
        s.boxes().forEach(b -> forEachCell(b, c -> {
            cells[c] = cells[c] == null ? new RoaringBitmap() : cells[c];
            cells[c].add(slot);
        }));
    }

    void remove(int slot, List<Box> boxes) {
        unselectiveSlots.clear(slot);
        boxes.stream().filter(b -> cellCount(b) <= MAX_CELLS_PER_BOX).forEach(b -> forEachCell(b, c -> {
            if (cells[c] != null) {
                cells[c].remove(slot);
            }
        }));
    }

    /** Removes the candidates that have no box in the cells of this one. */
    void retainMatches(Box box, BitSet candidates) {
        if (cellCount(box) > MAX_CELLS_PER_BOX) {
            return;
        }
        var matching = (BitSet) unselectiveSlots.clone();
        forEachCell(box, c -> {
            if (cells[c] != null) {
                cells[c].forEach((org.roaringbitmap.IntConsumer) matching::set);
            }
        });
        candidates.and(matching);
    }

    private static int row(int lat) {
        return Math.max(0, Math.min(ROWS - 1,
                Math.floorDiv(lat + 90 * Box.UNITS_PER_DEGREE, CELL_DEGREES * Box.UNITS_PER_DEGREE)));
    }

    private static int firstColumn(Box b) {
        return (b.west() + Box.FULL_CIRCLE / 2) / (CELL_DEGREES * Box.UNITS_PER_DEGREE);
    }

    private static int columns(Box b) {
        int last = (int) (((long) b.west() + Box.FULL_CIRCLE / 2 + b.width()) / (CELL_DEGREES * Box.UNITS_PER_DEGREE));
        return Math.min(COLUMNS, last - firstColumn(b) + 1);
    }

    private static int cellCount(Box b) {
        return columns(b) * (row(b.north()) - row(b.south()) + 1);
    }

    private static void forEachCell(Box b, IntConsumer consumer) {
        int first = firstColumn(b);
        int columns = columns(b);
        for (int row = row(b.south()); row <= row(b.north()); row++) {
            for (int i = 0; i < columns; i++) {
                consumer.accept(row * COLUMNS + (first + i) % COLUMNS);
            }
        }
    }

    /** Returns the approximate memory of the index in bytes. */
    long bytes() {
        long bytes = 8L * cells.length + unselectiveSlots.size() / 8;
        for (RoaringBitmap c : cells) {
            bytes += c == null ? 0 : c.getLongSizeInBytes();
        }
        return bytes;
    }
}

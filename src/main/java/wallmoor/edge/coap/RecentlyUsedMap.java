package wallmoor.edge.coap;

import java.util.LinkedHashMap;
import java.util.Map;

/** A map of bounded size that forgets the entry that was not used for the longest time. Not thread-safe. */
final class RecentlyUsedMap<K, V> extends LinkedHashMap<K, V> {
    private static final long serialVersionUID = 1L;
    private static final int INITIAL_CAPACITY = 64;
    private static final float LOAD_FACTOR = 0.75f;

    private final int maxEntries;

    RecentlyUsedMap(int maxEntries) {
        super(INITIAL_CAPACITY, LOAD_FACTOR, true);
        this.maxEntries = maxEntries;
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
        return size() > maxEntries;
    }
}

package wallmoor.ogc;

import static java.nio.charset.StandardCharsets.UTF_16LE;
import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import com.sun.management.ThreadMXBean;
import java.io.ByteArrayOutputStream;
import java.lang.management.ManagementFactory;
import java.nio.charset.Charset;
import java.util.List;
import org.junit.Test;
import wallmoor.http.ByteSlice;
import wallmoor.http.HttpProtocolException;

/** Guards against features that are cut out of a page at the wrong bytes, and against memory for each member. */
public class FeatureJsonReaderTest {
    private static final String FIRST = "{ \"geometry\" : null , \"type\":\"Feature\","
            + "\"note\":\"é}\\\"]\",\"a\":[{\"b\":{}}]}";
    private static final String SECOND = "{\"type\":\"Feature\",\"type\":\"Feature\","
            + "\"geometry\":{\"type\":\"Point\"}}";
    private static final int PAGE_BYTES = 60 * 1024;
    /** A tree of the page takes some 20 bytes for each of its bytes, and a stream only each name in turn. */
    private static final long MAX_ALLOCATION = 10 * PAGE_BYTES;

    /** Returns a slice in the middle of a buffer, as a reader of a connection has it. */
    private static ByteSlice slice(String text, Charset charset) {
        byte[] before = "[{\"type\":".getBytes(UTF_8);
        byte[] bytes = text.getBytes(charset);
        var buffer = new ByteArrayOutputStream();
        buffer.writeBytes(before);
        buffer.writeBytes(bytes);
        buffer.writeBytes(before);
        return new ByteSlice(buffer.toByteArray(), before.length, bytes.length);
    }

    private static String text(ByteSlice slice) {
        return new String(slice.buffer(), slice.from(), slice.length(), UTF_8);
    }

    private static FeatureJsonReader.FeaturePage page(String text) throws HttpProtocolException {
        return FeatureJsonReader.page(slice(text, UTF_8));
    }

    @Test
    public void returnsBytesOfEachFeatureAndNextLink() throws Exception {
        var page = page(" {\"features\":[" + FIRST + "\n,\t" + SECOND + "],\"links\":[3,{\"rel\":[\"next\"]},{\"rel\":"
                + "\"self\",\"href\":\"/a\"},{\"href\":\"/\\u00e9b\",\"rel\":\"next\"},{\"rel\":\"next\","
                + "\"href\":\"/c\"}],"
                + "\"type\":\"FeatureCollection\"} ");
        assertEquals(List.of(FIRST, SECOND), page.features().stream().map(FeatureJsonReaderTest::text).toList());
        assertEquals("/éb", page.nextLink());
        var empty = page(
                "{\"type\":\"FeatureCollection\",\"features\":[],\"links\":{\"rel\":\"next\",\"href\":\"/\"}}");
        assertEquals(List.of(), empty.features());
        assertNull(empty.nextLink());
        assertEquals(FIRST, text(FeatureJsonReader.feature(slice("\n" + FIRST + " ", UTF_8))));
    }

    @Test
    public void rejectsWhatIsNoPageOfFeatures() {
        for (String invalid : List.of("", "[]", "{}", "{\"type\":\"FeatureCollection\"}",
                "{\"type\":\"FeatureCollection\",\"features\":{}}", "{\"type\":\"Feature\",\"features\":[]}",
                "{\"type\":\"FeatureCollection\",\"features\":[3]}",
                "{\"type\":\"FeatureCollection\",\"features\":[{\"type\":\"Feature\"}]}",
                "{\"type\":\"FeatureCollection\",\"features\":[{\"type\":\"feature\",\"geometry\":null}]}",
                "{\"type\":\"FeatureCollection\",\"features\":[]}}", "{\"type\":\"FeatureCollection\",\"features\":[]",
                "{\"type\":\"FeatureCollection\",\"features\":[" + "[".repeat(70) + "]".repeat(70) + "]}",
                "{\"type\":\"FeatureCollection\",\"features\":[],\"a\":" + "[".repeat(70) + "]".repeat(70) + "}",
                "{\"type\":\"FeatureCollection\",\"features\":[],}", "{\"type\":\"FeatureCollection\",features:[]}")) {
            assertEquals(invalid, 502,
                    assertThrows(invalid, HttpProtocolException.class, () -> page(invalid)).status());
        }
        assertThrows(HttpProtocolException.class, () -> FeatureJsonReader.feature(slice(FIRST + "{}", UTF_8)));
        String valid = "{\"type\":\"FeatureCollection\",\"features\":[" + SECOND + "]}";
        assertThrows(HttpProtocolException.class, () -> FeatureJsonReader.page(slice(valid, UTF_16LE)));
    }

    @Test
    public void copiesMembersUnchangedExceptOne() {
        var copy = new ByteArrayOutputStream();
        FeatureJsonReader.copyMembersExcept("links",
                slice("{\"a\":\"é\\n\",\"links\":[{\"a\":1}],\"b\" : {\"c\":[1.50,true]} , \"d\\\"\":-1e5}", UTF_8),
                copy);
        assertEquals(",\"a\":\"é\\n\",\"b\" : {\"c\":[1.50,true]},\"d\\\"\":-1e5", copy.toString(UTF_8));
    }

    /** Measures by the allocations of this thread, which a collection of garbage does not change. */
    @Test
    public void needsLittleMemoryForPageOfManyMembers() throws Exception {
        var members = new StringBuilder();
        for (int i = 0; members.length() < PAGE_BYTES; i++) {
            members.append(",\"d").append(i).append("\":").append(i);
        }
        ByteSlice page = slice("{\"type\":\"FeatureCollection\",\"features\":[{\"type\":\"Feature\",\"geometry\":null"
                + members + "}]}", UTF_8);
        FeatureJsonReader.page(page);
        var threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        long before = threads.getThreadAllocatedBytes(Thread.currentThread().getId());
        FeatureJsonReader.FeaturePage read = FeatureJsonReader.page(page);
        long allocated = threads.getThreadAllocatedBytes(Thread.currentThread().getId()) - before;
        assertEquals(1, read.features().size());
        assertTrue("allocated " + allocated + " bytes", allocated <= MAX_ALLOCATION);
    }
}

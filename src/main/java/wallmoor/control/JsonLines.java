package wallmoor.control;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.io.SerializedString;
import java.io.IOException;
import java.io.OutputStream;

/** The response format of control ports: JSON objects, one per line. */
public final class JsonLines {
    /** Keeps the connection open when a generator is closed, as a line end may follow. */
    private static final JsonFactory JSON = new JsonFactory().disable(JsonGenerator.Feature.AUTO_CLOSE_TARGET);
    private static final SerializedString LINE_END = new SerializedString("\n");

    private JsonLines() {}

    /** Returns a generator that writes a line end between objects; closing it does not close {@code to}. */
    public static JsonGenerator generator(OutputStream to) throws IOException {
        JsonGenerator out = JSON.createGenerator(to);
        out.setRootValueSeparator(LINE_END);
        return out;
    }

    /** Writes an object with the reason why an invalid request is rejected. */
    public static void writeFault(JsonGenerator out, String reason) throws IOException {
        out.writeStartObject();
        out.writeStringField("fault", reason);
        out.writeEndObject();
    }
}

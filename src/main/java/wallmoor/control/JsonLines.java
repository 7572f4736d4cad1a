package wallmoor.control;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.io.SerializedString;
import java.io.IOException;
import java.io.OutputStream;

/** The form of answers at a control port: JSON objects, one a line. */
public final class JsonLines {
    /** Closing a generator must leave the connection open, as a line end may follow. */
    private static final JsonFactory JSON = new JsonFactory().disable(JsonGenerator.Feature.AUTO_CLOSE_TARGET);
    private static final SerializedString LINE_END = new SerializedString("\n");

    private JsonLines() {}

    /** Writes objects with a line end between them; closing it does not close {@code to}. */
    public static JsonGenerator generator(OutputStream to) throws IOException {
        JsonGenerator out = JSON.createGenerator(to);
        out.setRootValueSeparator(LINE_END);
        return out;
    }

    /** Writes an object that says why a request is not answered: the requester's fault. */
    public static void writeFault(JsonGenerator out, String reason) throws IOException {
        out.writeStartObject();
        out.writeStringField("fault", reason);
        out.writeEndObject();
    }
}

package wallmoor.ogc;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import wallmoor.http.ByteSlice;
import wallmoor.http.HttpProtocolException;
import wallmoor.http.HttpReader;
import wallmoor.json.Json;

/**
 * Reads the GeoJSON of feature servers as a stream of tokens. It keeps the byte range of each feature and no tree, so
 * its memory does not grow with the number of members. The parser gets each byte as one character, as its positions in
 * characters are then positions in bytes; texts that matter are decoded from their bytes.
 */
final class FeatureJsonReader implements AutoCloseable {
    /** Deeper nesting is rejected, as by the program's other JSON reader. */
    private static final int MAX_DEPTH = 65;
    /** Names are not kept, as a server may send a new one in each member. */
    private static final JsonFactory JSON = JsonFactory.builder()
            .disable(JsonFactory.Feature.CANONICALIZE_FIELD_NAMES)
            .streamReadConstraints(StreamReadConstraints.builder().maxNestingDepth(MAX_DEPTH)
                    .maxNumberLength(HttpReader.MAX_BODY_BYTES).maxNameLength(HttpReader.MAX_BODY_BYTES).build())
            .build();

    private final ByteSlice body;
    private final JsonParser in;

    /**
     * A page of a feature server.
     *
     * @param features the features, as ranges of the page's buffer
     * @param nextLink the link to the next page, or null if there is none
     */
    record FeaturePage(List<ByteSlice> features, String nextLink) {}

    private FeatureJsonReader(ByteSlice body) throws IOException {
        this.body = body;
        in = JSON.createParser(new InputStreamReader(
                new ByteArrayInputStream(body.buffer(), body.from(), body.length()), StandardCharsets.ISO_8859_1));
    }

    /**
     * Reads a page.
     *
     * @throws HttpProtocolException if the body is not a FeatureCollection of features
     */
    static FeaturePage page(ByteSlice body) throws HttpProtocolException {
        try (var reader = new FeatureJsonReader(body)) {
            return reader.readPage();
        } catch (IOException e) {
            throw new HttpProtocolException(502, "page is not valid JSON: " + reason(e));
        }
    }

    /**
     * Reads a body that consists of one feature, and returns the feature's range.
     *
     * @throws HttpProtocolException if the body is not a feature
     */
    static ByteSlice feature(ByteSlice body) throws HttpProtocolException {
        try (var reader = new FeatureJsonReader(body)) {
            require(reader.in.nextToken() == JsonToken.START_OBJECT, "the value is not an object");
            ByteSlice feature = reader.readFeature();
            require(reader.in.nextToken() == null, "unexpected content after the value");
            return feature;
        } catch (IOException e) {
            throw new HttpProtocolException(502, "feature is not valid JSON: " + reason(e));
        }
    }

    /**
     * Appends all members of an object but one, each as its bytes are, with a comma before it.
     *
     * @throws MalformedFeatureException if the feature is not a valid object
     */
    static void copyMembersExcept(String omitted, ByteSlice feature, ByteArrayOutputStream to) {
        try (var reader = new FeatureJsonReader(feature)) {
            reader.in.nextToken();
            while (reader.in.nextToken() == JsonToken.FIELD_NAME) {
                reader.copyMember(omitted, to);
            }
        } catch (IOException e) {
            throw new MalformedFeatureException(e);
        }
    }

    /** Returns the reason without the parser's description of its input. */
    private static String reason(IOException e) {
        return e instanceof JsonProcessingException invalid ? invalid.getOriginalMessage() : e.getMessage();
    }

    private void copyMember(String omitted, ByteArrayOutputStream to) throws IOException {
        int from = tokenStart();
        String name = in.currentName();
        in.nextToken();
        in.skipChildren();
        in.finishToken();
        if (!name.equals(omitted)) {
            to.write(',');
            to.write(body.buffer(), from, tokenEnd() - from);
        }
    }

    private FeaturePage readPage() throws IOException, HttpProtocolException {
        require(in.nextToken() == JsonToken.START_OBJECT, "the value is not an object");
        String type = null;
        List<ByteSlice> features = null;
        String nextLink = null;
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String name = in.currentName();
            in.nextToken();
            switch (name) {
                case "type" -> type = readText();
                case "features" -> features = readFeatures();
                case "links" -> nextLink = readNextLink();
                default -> in.skipChildren();
            }
        }
        require(in.nextToken() == null, "unexpected content after the value");
        require("FeatureCollection".equals(type) && features != null,
                "page is not a FeatureCollection with a list of features");
        return new FeaturePage(features, nextLink);
    }

    private static void require(boolean isValid, String problem) throws HttpProtocolException {
        if (!isValid) {
            throw new HttpProtocolException(502, problem);
        }
    }

    /** Returns the present value if it is a string, else skips it and returns null. */
    private String readText() throws IOException {
        if (in.currentToken() != JsonToken.VALUE_STRING) {
            in.skipChildren();
            return null;
        }
        int from = tokenStart();
        in.finishToken();
        try {
            return (String) Json.parse(body.buffer(), from, tokenEnd() - from);
        } catch (Json.Malformed e) {
            throw new IOException(e.getMessage(), e);
        }
    }

    private List<ByteSlice> readFeatures() throws IOException, HttpProtocolException {
        if (in.currentToken() != JsonToken.START_ARRAY) {
            in.skipChildren();
            return null;
        }
        var features = new ArrayList<ByteSlice>();
        while (in.nextToken() != JsonToken.END_ARRAY) {
            require(in.currentToken() == JsonToken.START_OBJECT, "features contains an item that is not an object");
            features.add(readFeature());
        }
        return features;
    }

    /** Reads the object that begins at the present token, and returns its range. */
    private ByteSlice readFeature() throws IOException, HttpProtocolException {
        int from = tokenStart();
        String type = null;
        boolean hasGeometry = false;
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String name = in.currentName();
            in.nextToken();
            hasGeometry |= name.equals("geometry");
            if (name.equals("type")) {
                type = readText();
            } else {
                in.skipChildren();
            }
        }
        require("Feature".equals(type) && hasGeometry, "item is not a Feature with a geometry");
        return new ByteSlice(body.buffer(), from, tokenEnd() - from);
    }

    /** Returns the target of the first link to the next page, or null. */
    private String readNextLink() throws IOException {
        if (in.currentToken() != JsonToken.START_ARRAY) {
            in.skipChildren();
            return null;
        }
        String target = null;
        boolean found = false;
        while (in.nextToken() != JsonToken.END_ARRAY) {
            if (in.currentToken() != JsonToken.START_OBJECT) {
                in.skipChildren();
                continue;
            }
            Link link = readLink();
            if (!found && "next".equals(link.relation())) {
                found = true;
                target = link.target();
            }
        }
        return target;
    }

    private record Link(String relation, String target) {}

    private Link readLink() throws IOException {
        String relation = null;
        String target = null;
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String name = in.currentName();
            in.nextToken();
            switch (name) {
                case "rel" -> relation = readText();
                case "href" -> target = readText();
                default -> in.skipChildren();
            }
        }
        return new Link(relation, target);
    }

    private int tokenStart() {
        return body.from() + (int) in.currentTokenLocation().getCharOffset();
    }

    private int tokenEnd() {
        return body.from() + (int) in.currentLocation().getCharOffset();
    }

    @Override
    public void close() throws IOException {
        in.close();
    }
}

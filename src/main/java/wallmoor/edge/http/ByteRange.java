package wallmoor.edge.http;

/** The bytes of an answer to send for a request with or without a Range header (RFC 9110 section 14). */
record ByteRange(RangeKind kind, int from, int to) {
    enum RangeKind { ALL, PART, UNSATISFIABLE }

    private static final ByteRange ALL = new ByteRange(RangeKind.ALL, 0, 0);

    /**
     * Returns the range to send of {@code length} bytes. All bytes are sent if the header has several ranges or is
     * malformed, and if If-Range names another version: what the device has received is not part of this answer then.
     */
    static ByteRange of(String range, String ifRange, String etag, int length) {
        if (range == null || (ifRange != null && !ifRange.trim().equals(etag))) {
            return ALL;
        }
        String spec = range.trim();
        if (!spec.matches("bytes=([0-9]{1,9}-[0-9]{0,9}|-[0-9]{1,9})")) {
            return ALL;
        }
        String[] bounds = spec.substring(6).split("-", -1);
        if (bounds[0].isEmpty()) {
            int suffixLength = Integer.parseInt(bounds[1]);
            return suffixLength == 0 ? new ByteRange(RangeKind.UNSATISFIABLE, 0, 0)
                    : new ByteRange(RangeKind.PART, Math.max(0, length - suffixLength), length);
        }
        int from = Integer.parseInt(bounds[0]);
        int to = bounds[1].isEmpty() ? length : Math.min(length, Integer.parseInt(bounds[1]) + 1);
        if (from >= length) {
            return new ByteRange(RangeKind.UNSATISFIABLE, 0, 0);
        }
        return to <= from ? ALL : new ByteRange(RangeKind.PART, from, to);
    }
}

package wallmoor.edge.http;

/** A range of bytes that a device asks for (RFC 9110 section 14), or what comes of asking. Pure. */
record ByteRange(RangeKind kind, int from, int to) {
    enum RangeKind { ALL, PART, BEYOND }

    private static final ByteRange ALL = new ByteRange(RangeKind.ALL, 0, 0);

    /**
     * What to send of {@code length} bytes. Several ranges, or what is no range, mean all; so does an If-Range that
     * names another version: what broke off then belongs to something else.
     */
    static ByteRange of(String range, String ifRange, String etag, int length) {
        if (range == null || (ifRange != null && !ifRange.trim().equals(etag))) {
            return ALL;
        }
        String spec = range.trim();
        if (!spec.matches("bytes=([0-9]{1,9}-[0-9]{0,9}|-[0-9]{1,9})")) {
            return ALL;
        }
        String[] ends = spec.substring(6).split("-", -1);
        if (ends[0].isEmpty()) {
            int last = Integer.parseInt(ends[1]);
            return last == 0 ? new ByteRange(RangeKind.BEYOND, 0, 0)
                    : new ByteRange(RangeKind.PART, Math.max(0, length - last), length);
        }
        int from = Integer.parseInt(ends[0]);
        int to = ends[1].isEmpty() ? length : Math.min(length, Integer.parseInt(ends[1]) + 1);
        if (from >= length) {
            return new ByteRange(RangeKind.BEYOND, 0, 0);
        }
        return to <= from ? ALL : new ByteRange(RangeKind.PART, from, to);
    }
}

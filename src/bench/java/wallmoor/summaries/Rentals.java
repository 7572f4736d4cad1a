package wallmoor.summaries;

import java.util.HashMap;
import java.util.Random;

/** Rows of rental sites by a seed: each has its city, its plates, some classes and brands, prices and a season. */
final class Rentals {
    private static final String[] CLASSES = {"compact", "suv", "van", "limousine", "coupe", "pickup", "truck",
        "minibus"};

    private Rentals() {}

    static Row row(Random random, int site) {
        var values = new HashMap<String, Object>();
        values.put("city", "city-" + site / 2);
        values.put("plate", "P-" + site + "-" + random.nextInt(100_000));
        values.put("class", CLASSES[(site + random.nextInt(4)) % CLASSES.length]);
        values.put("model", "m" + (site % 50 * 20 + random.nextInt(30)));
        values.put("price", (long) (20 + site % 100 * 10 + random.nextInt(40)));
        return new Row(values, place(random, site), time(random, site));
    }

    /** Two depots a site, up to 40 km round each; one site in 100 lies at the antimeridian. */
    private static Row.Coordinates place(Random random, int site) {
        var own = new Random(site / 2);
        double lon = own.nextInt(100) == 0 ? 180 : own.nextDouble() * 360 - 180;
        double lat = own.nextDouble() * 140 - 70;
        if (random.nextBoolean()) {
            lon += own.nextDouble() * 4 - 2;
            lat += own.nextDouble() * 4 - 2;
        }
        lon += random.nextDouble() * 0.7 - 0.35;
        return Row.Coordinates.of(lon > 180 ? lon - 360 : lon < -180 ? lon + 360 : lon, lat
                + random.nextDouble() * 0.7 - 0.35);
    }

    private static TimeSpan time(Random random, int site) {
        long from = (site % 50 * 20L + random.nextInt(60)) * 86_400_000_000L;
        return new TimeSpan(from, from + random.nextInt(7) * 86_400_000_000L);
    }

    static Summary summary(SummaryLimits settings, int site, int rows) {
        var random = new Random(site * 31L + 7);
        var draft = new SummaryBuilder(settings, "site-" + site, "b" + site, 1);
        for (int i = 0; i < rows; i++) {
            draft.add(row(random, site));
        }
        return draft.build(1);
    }
}

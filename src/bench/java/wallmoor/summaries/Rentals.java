package wallmoor.summaries;

import java.util.HashMap;
import java.util.Random;

/**
 * Generates seeded rows of rental sites: each site has its city, plates, some classes and brands, prices and a season.
 */
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
        return new Row(values, coordinates(random, site), time(random, site));
    }

    /**
     * Returns a point up to about 40 km from one of the two depots of a site; one site in 100 lies at the antimeridian.
     */
    private static Row.Coordinates coordinates(Random random, int site) {
        var siteRandom = new Random(site / 2);
        double lon = siteRandom.nextInt(100) == 0 ? 180 : siteRandom.nextDouble() * 360 - 180;
        double lat = siteRandom.nextDouble() * 140 - 70;
        if (random.nextBoolean()) {
            lon += siteRandom.nextDouble() * 4 - 2;
            lat += siteRandom.nextDouble() * 4 - 2;
        }
        lon += random.nextDouble() * 0.7 - 0.35;
        return Row.Coordinates.of(lon > 180 ? lon - 360 : lon < -180 ? lon + 360 : lon, lat
                + random.nextDouble() * 0.7 - 0.35);
    }

    private static TimeSpan time(Random random, int site) {
        long from = (site % 50 * 20L + random.nextInt(60)) * 86_400_000_000L;
        return new TimeSpan(from, from + random.nextInt(7) * 86_400_000_000L);
    }

    static Summary summary(SummaryLimits limits, int site, int rows) {
        var random = new Random(site * 31L + 7);
        var builder = new SummaryBuilder(limits, "site-" + site, "b" + site, 1);
        for (int i = 0; i < rows; i++) {
            builder.add(row(random, site));
        }
        return builder.build(1);
    }
}

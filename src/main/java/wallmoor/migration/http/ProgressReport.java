package wallmoor.migration.http;

import java.util.Locale;
import wallmoor.json.Json;
import wallmoor.migration.Migration;
import wallmoor.migration.MigrationStatus;
import wallmoor.migration.MigrationStatus.MigrationProgress;

/** JSON form of a {@link MigrationStatus}, for {@code rebalance status} and scripts. */
final class ProgressReport {
    /** Factor that rounds fractions to three decimals. */
    private static final double FRACTION_SCALE = 1_000.0;

    private ProgressReport() {}

    /** @param atMillis time of the status, in milliseconds since 1970 */
    static String encode(MigrationStatus status, long atMillis) {
        var json = new StringBuilder("{\"version\":").append(status.version()).append(",\"phase\":\"")
                .append(status.phase().name().toLowerCase(Locale.ROOT)).append("\",\"bytes_per_second\":")
                .append(status.bytesPerSecond()).append(",\"at_ms\":").append(atMillis)
                .append(",\"pid\":").append(ProcessHandle.current().pid());
        Json.quote(json.append(",\"stuck\":"), status.blockedReason());
        Json.quote(json.append(",\"given_up\":"), status.lastFailure());
        json.append(",\"moves\":[");
        for (int i = 0; i < status.migrations().size(); i++) {
            append(json.append(i == 0 ? "" : ","), status.migrations().get(i));
        }
        return json.append("]}").toString();
    }

    private static void append(StringBuilder json, MigrationProgress progress) {
        Migration migration = progress.migration();
        Json.quote(json.append("{\"block\":"), migration.block());
        Json.quote(json.append(",\"from\":"), migration.from());
        Json.quote(json.append(",\"to\":"), migration.to());
        json.append(",\"mb\":").append(migration.sizeMb()).append(",\"wave\":").append(migration.wave())
                .append(",\"stage\":\"").append(migration.stage().name().toLowerCase(Locale.ROOT))
                .append("\",\"there\":")
                .append(Math.round(progress.copiedFraction() * FRACTION_SCALE) / FRACTION_SCALE);
        Json.quote(json.append(",\"waits\":"), progress.waitingFor());
        json.append('}');
    }
}

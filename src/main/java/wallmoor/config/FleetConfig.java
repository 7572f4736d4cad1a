package wallmoor.config;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * The section {@code fleet} of the operators' file: the group of gatherers. The group is disabled where the section is
 * absent, and on the platform, where gatherers share nothing.
 *
 * @param installation the name of the group; messages of groups with other names are ignored
 * @param listen       the address of the datagram socket
 * @param address      the address that is announced to the other members
 * @param seeds        addresses of members to join through; some of them may be unreachable
 * @param size         the intended number of gatherers
 * @param interval     milliseconds between two probes
 * @param control      the loopback address where the command line reads the member states; null where it is off
 */
public record FleetConfig(String installation, InetSocketAddress listen, String address, List<String> seeds, int size,
        long interval, InetSocketAddress control) {
    private static final int MAX_SEEDS = 64;
    private static final int MAX_MEMBERS = 10_000;

    /** Reads the section; returns null where it is disabled. Faults are recorded in the section. */
    static FleetConfig of(ConfigSection section, LaunchConfig launch) {
        boolean isEnabled = section.flag("enabled", true);
        String installation = section.requiredText("installation");
        if (!installation.isEmpty() && !installation.matches("[!-~]{1,64}")) {
            section.addFault("installation",
                    "must be 1 to 64 printable ASCII characters without spaces: " + installation);
        }
        section.requiredText("listen");
        InetSocketAddress listen = section.address("listen");
        String address = section.text("address", section.text("listen", ""));
        section.address("address");
        List<String> seeds = section.texts("seeds");
        section.addresses("seeds");
        if (seeds.isEmpty() || seeds.size() > MAX_SEEDS) {
            section.addFault("seeds", "is absent, empty or has more than " + MAX_SEEDS + " items");
        }
        int size = section.integer("size", launch.settings().gatherers(), 1, MAX_MEMBERS);
        long interval = section.durationMillis("interval", 1000, 50, 60_000);
        InetSocketAddress control = section.address("control");
        if (control != null && !control.getAddress().isLoopbackAddress()) {
            section.addFault("control", "must be a loopback address, not " + section.text("control", ""));
        }
        section.reportUnknownKeys();
        return isEnabled
                ? new FleetConfig(installation, listen, address, List.copyOf(seeds), size, interval, control)
                : null;
    }
}

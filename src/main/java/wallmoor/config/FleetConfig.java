package wallmoor.config;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * The group of gatherers, section {@code fleet} of the operators' file. Off where the section is absent, and on the
 * platform, where gatherers share nothing.
 *
 * @param installation groups of other names are strangers
 * @param listen       the datagram socket
 * @param address      where others reach it, as they are told
 * @param seeds        addresses to meet the others at; some may be gone
 * @param size         gatherers that there are meant to be
 * @param interval     milliseconds between two probes
 * @param control      on loopback, where the command line asks what is held of whom; null where it may not
 */
public record FleetConfig(String installation, InetSocketAddress listen, String address, List<String> seeds, int size,
        long interval, InetSocketAddress control) {
    private static final int MAX_SEEDS = 64;
    private static final int MAX_MEMBERS = 10_000;

    static FleetConfig of(ConfigSection section, LaunchConfig launch) {
        boolean on = section.flag("enabled", true);
        String installation = section.requiredText("installation");
        if (!installation.isEmpty() && !installation.matches("[!-~]{1,64}")) {
            section.addFault("installation", "is no name of 1 to 64 letters: " + installation);
        }
        section.requiredText("listen");
        InetSocketAddress listen = section.address("listen");
        String address = section.text("address", section.text("listen", ""));
        section.address("address");
        List<String> seeds = section.texts("seeds");
        section.addresses("seeds");
        if (seeds.isEmpty() || seeds.size() > MAX_SEEDS) {
            section.addFault("seeds", "is absent, empty or holds more than " + MAX_SEEDS);
        }
        int size = section.integer("size", launch.settings().gatherers(), 1, MAX_MEMBERS);
        long interval = section.durationMillis("interval", 1000, 50, 60_000);
        InetSocketAddress control = section.address("control");
        if (control != null && !control.getAddress().isLoopbackAddress()) {
            section.addFault("control", "is no address of this machine alone: " + section.text("control", ""));
        }
        section.reportUnknownKeys();
        return on ? new FleetConfig(installation, listen, address, List.copyOf(seeds), size, interval, control) : null;
    }
}

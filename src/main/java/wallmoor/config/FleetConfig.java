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
    private static final int MOST_SEEDS = 64;
    private static final int MOST_MEMBERS = 10_000;

    static FleetConfig of(ConfigSection at, LaunchConfig launch) {
        boolean on = at.flag("enabled", true);
        String installation = at.required("installation");
        if (!installation.isEmpty() && !installation.matches("[!-~]{1,64}")) {
            at.fault("installation", "is no name of 1 to 64 letters: " + installation);
        }
        at.required("listen");
        InetSocketAddress listen = at.address("listen");
        String address = at.text("address", at.text("listen", ""));
        at.address("address");
        List<String> seeds = at.texts("seeds");
        at.addresses("seeds");
        if (seeds.isEmpty() || seeds.size() > MOST_SEEDS) {
            at.fault("seeds", "is absent, empty or holds more than " + MOST_SEEDS);
        }
        int size = at.whole("size", launch.settings().gatherers(), 1, MOST_MEMBERS);
        long interval = at.time("interval", 1000, 50, 60_000);
        InetSocketAddress control = at.address("control");
        if (control != null && !control.getAddress().isLoopbackAddress()) {
            at.fault("control", "is no address of this machine alone: " + at.text("control", ""));
        }
        at.end();
        return on ? new FleetConfig(installation, listen, address, List.copyOf(seeds), size, interval, control) : null;
    }
}

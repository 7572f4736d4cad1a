package wallmoor.config;

import java.math.BigDecimal;
import java.nio.file.Path;
import java.time.Instant;
import java.time.LocalTime;
import java.time.ZoneOffset;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import wallmoor.maintenance.BlockHolders;
import wallmoor.maintenance.Budgets;
import wallmoor.maintenance.Budgets.MaintenanceWindows;
import wallmoor.maintenance.FleetSnapshot;
import wallmoor.maintenance.Machine;
import wallmoor.maintenance.Machine.MachinePhase;
import wallmoor.maintenance.Machine.MachineRole;
import wallmoor.maintenance.MaintenanceRequest;

/**
 * The file that {@code maintenance plan} reads: the fleet, the operators' budgets, and the maintenance requests. It is
 * YAML; it is read and checked completely, and each fault is reported with the path and the line of its key.
 */
public final class MaintenanceFile {
    /** The largest fleet for which planning was measured. */
    public static final int MAX_MACHINES = 10_000;
    public static final int MAX_BLOCKS = 50_000;
    /** The maximum size of the file: that many blocks and machines, with some 200 characters for each. */
    private static final int MAX_BYTES = 16 << 20;
    private static final long DAY_MILLIS = 86_400_000;
    private static final long YEAR_MILLIS = 365 * DAY_MILLIS;
    /** Capacities, in whatever unit, are summed in millionths; the sum of 10,000 of them doesn't overflow. */
    private static final int MAX_CAPACITY = 100_000_000;

    private MaintenanceFile() {}

    /**
     * The content of a file.
     *
     * @param at the time that is planned for, in milliseconds since 1970
     */
    public record MaintenancePlanInput(long at, FleetSnapshot fleet, Budgets budgets,
            List<MaintenanceRequest> requests) {}

    /**
     * Reads a file.
     *
     * @throws ConfigException with all faults in its message, one per line
     */
    public static MaintenancePlanInput read(Path file) {
        var faults = new ArrayList<ConfigSection.Fault>();
        var root = new ConfigSection("", YamlFile.compose(file, MAX_BYTES), faults);
        long at = time(root, "at", -1);
        if (!root.has("at")) {
            root.addFault("at", "is absent; it must give the time to plan for");
        }
        List<Machine> machines = machines(root);
        Set<String> machineIds = new HashSet<>();
        machines.forEach(m -> machineIds.add(m.id()));
        Set<String> centres = new HashSet<>();
        machines.forEach(m -> centres.add(m.centre()));
        Budgets budgets = budgets(root.section("budgets"), centres);
        if (!root.has("budgets")) {
            root.addFault("budgets", "is absent");
        }
        List<BlockHolders> blocks = blocks(root, machineIds);
        List<MaintenanceRequest> requests = requests(root, machineIds);
        root.reportUnknownKeys();
        YamlFile.throwIfFaulty(file, faults);
        return new MaintenancePlanInput(at, new FleetSnapshot(machines, blocks, List.of(), 0, true, ""), budgets,
                requests);
    }

    private static Budgets budgets(ConfigSection section, Set<String> knownCentres) {
        int atOnce = section.integer("at_once", 1, 0, MAX_MACHINES);
        ConfigSection centreSection = section.section("centres");
        Map<String, Integer> centres = new HashMap<>();
        for (String centre : centreSection.keys()) {
            centres.put(centre, centreSection.integer(centre, 1, 0, MAX_MACHINES));
            if (!knownCentres.contains(centre)) {
                centreSection.addFault(centre, "is not the centre of any machine");
            }
        }
        int offset = section.value("offset", 0, t -> {
            try {
                return ZoneOffset.of(t).getTotalSeconds() / 60;
            } catch (java.time.DateTimeException e) {
                throw new IllegalArgumentException(e);
            }
        }, "must be an offset from UTC such as +05:00");
        var windows = new ArrayList<MaintenanceWindows.DailyWindow>();
        for (String text : section.texts("hours")) {
            try {
                String[] ends = text.split("-", -1);
                windows.add(new MaintenanceWindows.DailyWindow(minuteOfDay(ends[0]), minuteOfDay(ends[1])));
            } catch (DateTimeParseException | ArrayIndexOutOfBoundsException e) {
                section.addFault("hours", "contains a value that is not a window such as 22:00-04:00: " + text);
            }
        }
        var budgets = new Budgets(atOnce, centres, millionths(section, "capacity_kept", 0),
                section.integer("gatherers_kept", 1, 0, MAX_MACHINES),
                new MaintenanceWindows(windows, offset), section.durationMillis("cold", 18_000, 0, DAY_MILLIS),
                millionths(section, "cold_share", 160_000),
                section.durationMillis("warm_up", 30_000, 0, DAY_MILLIS),
                section.durationMillis("parts", 10_000, 0, DAY_MILLIS),
                section.durationMillis("drain", 600_000, 0, DAY_MILLIS),
                section.durationMillis("late", 600_000, 0, DAY_MILLIS));
        section.reportUnknownKeys();
        return budgets;
    }

    private static int minuteOfDay(String text) {
        LocalTime time = LocalTime.parse(text.strip());
        return time.getHour() * 60 + time.getMinute();
    }

    private static List<Machine> machines(ConfigSection root) {
        var all = new ArrayList<Machine>();
        Set<String> ids = new HashSet<>();
        for (ConfigSection section : root.nonEmptySections("machines", MAX_MACHINES)) {
            String id = section.uniqueId(ids);
            MachineRole role = section.value("kind", MachineRole.NODE, t -> switch (t) {
                case "node" -> MachineRole.NODE;
                case "gatherer" -> MachineRole.GATHERER;
                default -> throw new IllegalArgumentException();
            }, "must be node or gatherer");
            MachinePhase phase = section.value("phase", MachinePhase.SERVING, t -> switch (t) {
                case "serving" -> MachinePhase.SERVING;
                case "draining" -> MachinePhase.DRAINING;
                case "away" -> MachinePhase.AWAY;
                default -> throw new IllegalArgumentException();
            }, "must be serving, draining or away");
            all.add(new Machine(id, role, section.requiredText("centre"),
                    section.integer("capacity", 1, 1, MAX_CAPACITY),
                    section.flag("voter", false),
                    phase, "", 0, section.durationMillis("served", YEAR_MILLIS, 0, YEAR_MILLIS)));
            section.reportUnknownKeys();
        }
        return all;
    }

    private static List<BlockHolders> blocks(ConfigSection root, Set<String> machineIds) {
        var blocks = new ArrayList<BlockHolders>();
        Set<String> ids = new HashSet<>();
        List<ConfigSection> all = root.sections("blocks");
        if (all.size() > MAX_BLOCKS) {
            root.addFault("blocks", "has more than " + MAX_BLOCKS + " items");
            return blocks;
        }
        for (ConfigSection section : all) {
            String id = section.uniqueId(ids);
            List<String> holders = section.texts("on");
            if (holders.isEmpty()) {
                section.addFault("on", "is absent or empty; it must list the machines with a complete, intact copy");
            }
            checkMachines(section, "on", holders, machineIds);
            section.reportUnknownKeys();
            blocks.add(new BlockHolders(id, holders));
        }
        return blocks;
    }

    private static List<MaintenanceRequest> requests(ConfigSection root, Set<String> machineIds) {
        var requests = new ArrayList<MaintenanceRequest>();
        Set<String> ids = new HashSet<>();
        Set<String> requestedMachines = new HashSet<>();
        for (ConfigSection section : root.nonEmptySections("wishes", MAX_MACHINES)) {
            String id = section.uniqueId(ids);
            String machine = section.requiredText("machine");
            if (!machine.isEmpty() && !machineIds.contains(machine)) {
                section.addFault("machine", "is not in machines: " + machine);
            } else if (!machine.isEmpty() && !requestedMachines.add(machine)) {
                section.addFault("machine", "is in an earlier wish already: " + machine);
            }
            if (!section.has("lasts")) {
                section.addFault("lasts", "is absent; it must say how long the work takes");
            }
            long durationMillis = section.durationMillis("lasts", 1, 1, 7 * DAY_MILLIS);
            long deadline = time(section, "by", MaintenanceRequest.NO_DEADLINE);
            List<String> after = section.texts("after");
            List<String> before = section.texts("before");
            checkMachines(section, "after", after, machineIds);
            checkMachines(section, "before", before, machineIds);
            String requester = section.requiredText("who");
            String reason = section.text("reason", "");
            section.reportUnknownKeys();
            if (!id.isEmpty() && !machine.isEmpty()) {
                requests.add(new MaintenanceRequest(id, machine, durationMillis, deadline, reason, requester,
                        new TreeSet<>(after), new TreeSet<>(before)));
            }
        }
        return requests;
    }

    /** Adds a fault for each name that is not a machine's id or occurs more than once. */
    private static void checkMachines(ConfigSection section, String key, List<String> names, Set<String> machineIds) {
        Set<String> seen = new HashSet<>();
        for (String name : names) {
            if (!machineIds.contains(name)) {
                section.addFault(key, "names a machine that is not in machines: " + name);
            } else if (!seen.add(name)) {
                section.addFault(key, "names a machine twice: " + name);
            }
        }
    }

    /** Returns a point in time, in milliseconds since 1970. */
    private static long time(ConfigSection section, String key, long defaultValue) {
        return section.value(key, defaultValue, t -> {
            try {
                return Instant.parse(t).toEpochMilli();
            } catch (DateTimeParseException | ArithmeticException e) {
                throw new IllegalArgumentException(e);
            }
        }, "must be a time in UTC such as 2026-12-05T20:00:00Z");
    }

    /** Returns a share in millionths. */
    private static int millionths(ConfigSection section, String key, int defaultValue) {
        return section.value(key, defaultValue, t -> {
            try {
                int millionths = new BigDecimal(t).movePointRight(6).intValueExact();
                if (millionths < 0 || millionths > Budgets.MILLION) {
                    throw new IllegalArgumentException();
                }
                return millionths;
            } catch (ArithmeticException e) {
                throw new IllegalArgumentException(e);
            }
        }, "must be a share from 0 to 1 with at most six decimals");
    }
}

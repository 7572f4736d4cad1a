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
 * The file that {@code maintenance plan} reads: the fleet, what the operators allow, and what is asked. It is YAML,
 * read and checked whole; every fault is told with its key's path and its line.
 */
public final class MaintenanceFile {
    /** What plans were measured with. */
    public static final int MAX_MACHINES = 10_000;
    public static final int MAX_BLOCKS = 50_000;
    /** Of so many blocks and machines, each in some 200 characters. */
    private static final int MAX_BYTES = 16 << 20;
    private static final long DAY_MILLIS = 86_400_000;
    private static final long YEAR_MILLIS = 365 * DAY_MILLIS;
    /** Capacities are summed in millionths; in any unit, 10,000 of them fit. */
    private static final int MAX_CAPACITY = 100_000_000;

    private MaintenanceFile() {}

    /**
     * All that a file says.
     *
     * @param at the time that is planned for, in milliseconds since 1970
     */
    public record MaintenancePlanInput(long at, FleetSnapshot fleet, Budgets budgets,
            List<MaintenanceRequest> requests) {}

    /**
     * Reads a file.
     *
     * @throws ConfigException with all faults in its message, one a line
     */
    public static MaintenancePlanInput read(Path file) {
        var faults = new ArrayList<ConfigSection.Fault>();
        var root = new ConfigSection("", YamlFile.compose(file, MAX_BYTES), faults);
        long at = time(root, "at", -1);
        if (!root.has("at")) {
            root.addFault("at", "is absent: the time that is planned for");
        }
        List<Machine> machines = machines(root);
        Set<String> known = new HashSet<>();
        machines.forEach(m -> known.add(m.id()));
        Set<String> centres = new HashSet<>();
        machines.forEach(m -> centres.add(m.centre()));
        Budgets budgets = budgets(root.section("budgets"), centres);
        if (!root.has("budgets")) {
            root.addFault("budgets", "is absent");
        }
        List<BlockHolders> blocks = blocks(root, known);
        List<MaintenanceRequest> wishes = wishes(root, known);
        root.reportUnknownKeys();
        YamlFile.throwIfFaulty(file, faults);
        return new MaintenancePlanInput(at, new FleetSnapshot(machines, blocks, List.of(), 0, true, ""), budgets,
                wishes);
    }

    private static Budgets budgets(ConfigSection section, Set<String> known) {
        int atOnce = section.integer("at_once", 1, 0, MAX_MACHINES);
        ConfigSection in = section.section("centres");
        Map<String, Integer> centres = new HashMap<>();
        for (String c : in.keys()) {
            centres.put(c, in.integer(c, 1, 0, MAX_MACHINES));
            if (!known.contains(c)) {
                in.addFault(c, "is no machine's centre");
            }
        }
        int offset = section.value("offset", 0, t -> {
            try {
                return ZoneOffset.of(t).getTotalSeconds() / 60;
            } catch (java.time.DateTimeException e) {
                throw new IllegalArgumentException(e);
            }
        }, "is no offset from UTC such as +05:00");
        var windows = new ArrayList<MaintenanceWindows.DailyWindow>();
        for (String text : section.texts("hours")) {
            try {
                String[] part = text.split("-", -1);
                windows.add(new MaintenanceWindows.DailyWindow(minute(part[0]), minute(part[1])));
            } catch (DateTimeParseException | ArrayIndexOutOfBoundsException e) {
                section.addFault("hours", "holds what is no window such as 22:00-04:00: " + text);
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

    private static int minute(String text) {
        LocalTime t = LocalTime.parse(text.strip());
        return t.getHour() * 60 + t.getMinute();
    }

    private static List<Machine> machines(ConfigSection root) {
        var all = new ArrayList<Machine>();
        Set<String> ids = new HashSet<>();
        for (ConfigSection section : root.nonEmptySections("machines", MAX_MACHINES)) {
            String id = section.uniqueId(ids);
            MachineRole kind = section.value("kind", MachineRole.NODE, t -> switch (t) {
                case "node" -> MachineRole.NODE;
                case "gatherer" -> MachineRole.GATHERER;
                default -> throw new IllegalArgumentException();
            }, "is neither node nor gatherer");
            MachinePhase phase = section.value("phase", MachinePhase.SERVING, t -> switch (t) {
                case "serving" -> MachinePhase.SERVING;
                case "draining" -> MachinePhase.DRAINING;
                case "away" -> MachinePhase.AWAY;
                default -> throw new IllegalArgumentException();
            }, "is none of serving, draining and away");
            all.add(new Machine(id, kind, section.requiredText("centre"),
                    section.integer("capacity", 1, 1, MAX_CAPACITY),
                    section.flag("voter", false),
                    phase, "", 0, section.durationMillis("served", YEAR_MILLIS, 0, YEAR_MILLIS)));
            section.reportUnknownKeys();
        }
        return all;
    }

    private static List<BlockHolders> blocks(ConfigSection root, Set<String> known) {
        var blocks = new ArrayList<BlockHolders>();
        Set<String> ids = new HashSet<>();
        List<ConfigSection> all = root.sections("blocks");
        if (all.size() > MAX_BLOCKS) {
            root.addFault("blocks", "holds more than " + MAX_BLOCKS);
            return blocks;
        }
        for (ConfigSection section : all) {
            String id = section.uniqueId(ids);
            List<String> on = section.texts("on");
            if (on.isEmpty()) {
                section.addFault("on", "is absent or empty: who holds a whole and sound copy");
            }
            names(section, "on", on, known);
            section.reportUnknownKeys();
            blocks.add(new BlockHolders(id, on));
        }
        return blocks;
    }

    private static List<MaintenanceRequest> wishes(ConfigSection root, Set<String> known) {
        var wishes = new ArrayList<MaintenanceRequest>();
        Set<String> ids = new HashSet<>();
        Set<String> machines = new HashSet<>();
        for (ConfigSection section : root.nonEmptySections("wishes", MAX_MACHINES)) {
            String id = section.uniqueId(ids);
            String machine = section.requiredText("machine");
            if (!machine.isEmpty() && !known.contains(machine)) {
                section.addFault("machine", "is not there: " + machine);
            } else if (!machine.isEmpty() && !machines.add(machine)) {
                section.addFault("machine", "has a wish already: " + machine);
            }
            if (!section.has("lasts")) {
                section.addFault("lasts", "is absent: how long the work takes");
            }
            long lasts = section.durationMillis("lasts", 1, 1, 7 * DAY_MILLIS);
            long by = time(section, "by", MaintenanceRequest.NO_DEADLINE);
            List<String> after = section.texts("after");
            List<String> before = section.texts("before");
            names(section, "after", after, known);
            names(section, "before", before, known);
            String who = section.requiredText("who");
            String reason = section.text("reason", "");
            section.reportUnknownKeys();
            if (!id.isEmpty() && !machine.isEmpty()) {
                wishes.add(new MaintenanceRequest(id, machine, lasts, by, reason, who, new TreeSet<>(after),
                        new TreeSet<>(before)));
            }
        }
        return wishes;
    }

    private static void names(ConfigSection section, String key, List<String> names, Set<String> known) {
        Set<String> own = new HashSet<>();
        for (String name : names) {
            if (!known.contains(name)) {
                section.addFault(key, "names a machine that is not there: " + name);
            } else if (!own.add(name)) {
                section.addFault(key, "names a machine twice: " + name);
            }
        }
    }

    private static long time(ConfigSection section, String key, long defaultValue) {
        return section.value(key, defaultValue, t -> {
            try {
                return Instant.parse(t).toEpochMilli();
            } catch (DateTimeParseException | ArithmeticException e) {
                throw new IllegalArgumentException(e);
            }
        }, "is no time in UTC such as 2026-12-05T20:00:00Z");
    }

    private static int millionths(ConfigSection section, String key, int defaultValue) {
        return section.value(key, defaultValue, t -> {
            try {
                int n = new BigDecimal(t).movePointRight(6).intValueExact();
                if (n < 0 || n > Budgets.MILLION) {
                    throw new IllegalArgumentException();
                }
                return n;
            } catch (ArithmeticException e) {
                throw new IllegalArgumentException(e);
            }
        }, "is no share from 0 to 1 with six decimals at most");
    }
}

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
    public static final int MOST_MACHINES = 10_000;
    public static final int MOST_BLOCKS = 50_000;
    /** Of so many blocks and machines, each in some 200 characters. */
    private static final int MOST_BYTES = 16 << 20;
    private static final long DAY = 86_400_000;
    private static final long YEAR = 365 * DAY;
    /** Capacities are summed in millionths; in any unit, 10,000 of them fit. */
    private static final int MOST_CAPACITY = 100_000_000;

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
        var root = new ConfigSection("", YamlFile.compose(file, MOST_BYTES), faults);
        long at = time(root, "at", -1);
        if (!root.has("at")) {
            root.fault("at", "is absent: the time that is planned for");
        }
        List<Machine> machines = machines(root);
        Set<String> known = new HashSet<>();
        machines.forEach(m -> known.add(m.id()));
        Set<String> centres = new HashSet<>();
        machines.forEach(m -> centres.add(m.centre()));
        Budgets budgets = budgets(root.section("budgets"), centres);
        if (!root.has("budgets")) {
            root.fault("budgets", "is absent");
        }
        List<BlockHolders> blocks = blocks(root, known);
        List<MaintenanceRequest> wishes = wishes(root, known);
        root.end();
        YamlFile.refuse(file, faults);
        return new MaintenancePlanInput(at, new FleetSnapshot(machines, blocks, List.of(), 0, true, ""), budgets,
                wishes);
    }

    private static Budgets budgets(ConfigSection at, Set<String> known) {
        int atOnce = at.whole("at_once", 1, 0, MOST_MACHINES);
        ConfigSection in = at.section("centres");
        Map<String, Integer> centres = new HashMap<>();
        for (String c : in.keys()) {
            centres.put(c, in.whole(c, 1, 0, MOST_MACHINES));
            if (!known.contains(c)) {
                in.fault(c, "is no machine's centre");
            }
        }
        int offset = at.value("offset", 0, t -> {
            try {
                return ZoneOffset.of(t).getTotalSeconds() / 60;
            } catch (java.time.DateTimeException e) {
                throw new IllegalArgumentException(e);
            }
        }, "is no offset from UTC such as +05:00");
        var windows = new ArrayList<MaintenanceWindows.DailyWindow>();
        for (String text : at.texts("hours")) {
            try {
                String[] part = text.split("-", -1);
                windows.add(new MaintenanceWindows.DailyWindow(minute(part[0]), minute(part[1])));
            } catch (DateTimeParseException | ArrayIndexOutOfBoundsException e) {
                at.fault("hours", "holds what is no window such as 22:00-04:00: " + text);
            }
        }
        var budgets = new Budgets(atOnce, centres, millionths(at, "capacity_kept", 0),
                at.whole("gatherers_kept", 1, 0, MOST_MACHINES),
                new MaintenanceWindows(windows, offset), at.time("cold", 18_000, 0, DAY),
                millionths(at, "cold_share", 160_000),
                at.time("warm_up", 30_000, 0, DAY), at.time("parts", 10_000, 0, DAY), at.time("drain", 600_000, 0, DAY),
                at.time("late", 600_000, 0, DAY));
        at.end();
        return budgets;
    }

    private static int minute(String text) {
        LocalTime t = LocalTime.parse(text.strip());
        return t.getHour() * 60 + t.getMinute();
    }

    private static List<Machine> machines(ConfigSection root) {
        var all = new ArrayList<Machine>();
        Set<String> ids = new HashSet<>();
        for (ConfigSection at : root.some("machines", MOST_MACHINES)) {
            String id = at.id(ids);
            MachineRole kind = at.value("kind", MachineRole.NODE, t -> switch (t) {
                case "node" -> MachineRole.NODE;
                case "gatherer" -> MachineRole.GATHERER;
                default -> throw new IllegalArgumentException();
            }, "is neither node nor gatherer");
            MachinePhase phase = at.value("phase", MachinePhase.SERVING, t -> switch (t) {
                case "serving" -> MachinePhase.SERVING;
                case "draining" -> MachinePhase.DRAINING;
                case "away" -> MachinePhase.AWAY;
                default -> throw new IllegalArgumentException();
            }, "is none of serving, draining and away");
            all.add(new Machine(id, kind, at.required("centre"), at.whole("capacity", 1, 1, MOST_CAPACITY),
                    at.flag("voter", false),
                    phase, "", 0, at.time("served", YEAR, 0, YEAR)));
            at.end();
        }
        return all;
    }

    private static List<BlockHolders> blocks(ConfigSection root, Set<String> known) {
        var blocks = new ArrayList<BlockHolders>();
        Set<String> ids = new HashSet<>();
        List<ConfigSection> all = root.sections("blocks");
        if (all.size() > MOST_BLOCKS) {
            root.fault("blocks", "holds more than " + MOST_BLOCKS);
            return blocks;
        }
        for (ConfigSection at : all) {
            String id = at.id(ids);
            List<String> on = at.texts("on");
            if (on.isEmpty()) {
                at.fault("on", "is absent or empty: who holds a whole and sound copy");
            }
            names(at, "on", on, known);
            at.end();
            blocks.add(new BlockHolders(id, on));
        }
        return blocks;
    }

    private static List<MaintenanceRequest> wishes(ConfigSection root, Set<String> known) {
        var wishes = new ArrayList<MaintenanceRequest>();
        Set<String> ids = new HashSet<>();
        Set<String> machines = new HashSet<>();
        for (ConfigSection at : root.some("wishes", MOST_MACHINES)) {
            String id = at.id(ids);
            String machine = at.required("machine");
            if (!machine.isEmpty() && !known.contains(machine)) {
                at.fault("machine", "is not there: " + machine);
            } else if (!machine.isEmpty() && !machines.add(machine)) {
                at.fault("machine", "has a wish already: " + machine);
            }
            if (!at.has("lasts")) {
                at.fault("lasts", "is absent: how long the work takes");
            }
            long lasts = at.time("lasts", 1, 1, 7 * DAY);
            long by = time(at, "by", MaintenanceRequest.NO_DEADLINE);
            List<String> after = at.texts("after");
            List<String> before = at.texts("before");
            names(at, "after", after, known);
            names(at, "before", before, known);
            String who = at.required("who");
            String reason = at.text("reason", "");
            at.end();
            if (!id.isEmpty() && !machine.isEmpty()) {
                wishes.add(new MaintenanceRequest(id, machine, lasts, by, reason, who, new TreeSet<>(after),
                        new TreeSet<>(before)));
            }
        }
        return wishes;
    }

    private static void names(ConfigSection at, String key, List<String> names, Set<String> known) {
        Set<String> own = new HashSet<>();
        for (String name : names) {
            if (!known.contains(name)) {
                at.fault(key, "names a machine that is not there: " + name);
            } else if (!own.add(name)) {
                at.fault(key, "names a machine twice: " + name);
            }
        }
    }

    private static long time(ConfigSection at, String key, long otherwise) {
        return at.value(key, otherwise, t -> {
            try {
                return Instant.parse(t).toEpochMilli();
            } catch (DateTimeParseException | ArithmeticException e) {
                throw new IllegalArgumentException(e);
            }
        }, "is no time in UTC such as 2026-12-05T20:00:00Z");
    }

    private static int millionths(ConfigSection at, String key, int otherwise) {
        return at.value(key, otherwise, t -> {
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

package wallmoor.config;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import wallmoor.decision.QueryClass;

/**
 * Assigns an index to each query class for the lifetime of the process, across all settings that are loaded. A class
 * keeps its index, so that a query in flight while settings change is never attributed to another class. The index of a
 * removed class stays reserved until the class returns.
 *
 * @param names   the class names by index
 * @param classes the classes by index; for a removed class its last definition
 * @param removed the indexes of the classes that the current settings don't have
 */
record ClassIndexes(List<String> names, List<QueryClass> classes, Set<Integer> removed) {
    /**
     * The maximum number of class names in the lifetime of a process. Each takes some hundred bytes until the process
     * ends; more names point to a fault in the program that writes the file.
     */
    static final int MAX_CLASS_NAMES = 256;

    /** Returns the index of an active class, or -1; also for a null name, as of an absent header. */
    int of(String name) {
        int index = ofAny(name);
        return removed.contains(index) ? -1 : index;
    }

    /** Returns the index of a class, active or removed, or -1. */
    int ofAny(String name) {
        return name == null ? -1 : names.indexOf(name);
    }

    /**
     * Returns the indexes with exactly these classes active.
     *
     * @throws ConfigException if a name occurs twice, or if there are too many names
     */
    ClassIndexes changedTo(List<String> activeNames, List<QueryClass> activeClasses) {
        var allNames = new ArrayList<>(names);
        var allClasses = new ArrayList<>(classes);
        var inactive = new HashSet<Integer>();
        for (int index = 0; index < names.size(); index++) {
            inactive.add(index);
        }
        var seen = new HashSet<String>();
        for (int i = 0; i < activeNames.size(); i++) {
            if (!seen.add(activeNames.get(i))) {
                throw new ConfigException("Classes." + i + ".Name", "settings.Classes." + i + ".Name is a duplicate: "
                        + activeNames.get(i));
            }
            int index = allNames.indexOf(activeNames.get(i));
            if (index < 0) {
                index = allNames.size();
                allNames.add(activeNames.get(i));
                allClasses.add(activeClasses.get(i));
            }
            allClasses.set(index, activeClasses.get(i));
            inactive.remove(index);
        }
        if (allNames.size() > MAX_CLASS_NAMES) {
            throw new ConfigException("Classes", "settings.Classes: more than " + MAX_CLASS_NAMES
                    + " class names since the process started; restart it to drop the removed classes");
        }
        return new ClassIndexes(List.copyOf(allNames), List.copyOf(allClasses), Set.copyOf(inactive));
    }
}

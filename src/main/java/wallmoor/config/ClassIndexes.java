package wallmoor.config;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import wallmoor.decision.QueryClass;

/**
 * Where each class of query stands, over all settings of a process' life. A class keeps its place, so that what is
 * under way when settings change is never taken for another class; one that vanished leaves its place empty until it
 * returns.
 *
 * @param names    by place
 * @param classes  by place; of one that vanished, as it was last
 * @param vanished the places of classes that are not in force
 */
record ClassIndexes(List<String> names, List<QueryClass> classes, Set<Integer> vanished) {
    /**
     * A place costs some hundred bytes for good; more names than this in one life are a fault in who writes the file.
     */
    static final int MOST = 256;

    /** The place of a class in force, or -1. */
    int of(String name) {
        int place = names.indexOf(name);
        return vanished.contains(place) ? -1 : place;
    }

    /**
     * With these classes in force and no others.
     *
     * @throws ConfigException if they name one twice or would need too many places
     */
    ClassIndexes changedTo(List<String> others, List<QueryClass> theirs) {
        var allNames = new ArrayList<>(names);
        var allClasses = new ArrayList<>(classes);
        var gone = new HashSet<Integer>();
        for (int place = 0; place < names.size(); place++) {
            gone.add(place);
        }
        var seen = new HashSet<String>();
        for (int i = 0; i < others.size(); i++) {
            if (!seen.add(others.get(i))) {
                throw new ConfigException("Classes." + i + ".Name", "settings.Classes." + i + ".Name stands twice: "
                        + others.get(i));
            }
            int place = allNames.indexOf(others.get(i));
            if (place < 0) {
                place = allNames.size();
                allNames.add(others.get(i));
                allClasses.add(theirs.get(i));
            }
            allClasses.set(place, theirs.get(i));
            gone.remove(place);
        }
        if (allNames.size() > MOST) {
            throw new ConfigException("Classes", "settings.Classes: over " + MOST
                    + " names of classes since the start; restart to forget those that are gone");
        }
        return new ClassIndexes(List.copyOf(allNames), List.copyOf(allClasses), Set.copyOf(gone));
    }
}

package wallmoor.versions;

/** What this gatherer goes by, asked for at each act: an answer is good for that act alone. It never waits. */
public interface Acting {
    /**
     * Of a program that agrees with nobody: the gatherer's own files hold. Who is given this one may know it by that.
     */
    Acting NONE = new Nobody();

    /** What to go by of the document of this name, now. Never null. */
    Act acting(String name);

    /** Agrees with nobody. A class of its own, as every start comes by it and a lambda would be linked each time. */
    final class Nobody implements Acting {
        private Nobody() {}

        @Override
        public Act acting(String name) {
            return new Act(Act.Basis.NONE, 0, 0, Body.EMPTY);
        }
    }
}

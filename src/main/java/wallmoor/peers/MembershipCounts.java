package wallmoor.peers;

/**
 * The counts of one member's protocol events since its start.
 *
 * @param probes           probes sent to subjects
 * @param unansweredProbes probes that were not answered before the probe timeout
 * @param suspicions       suspicions reported by this member
 * @param refutations      suspicions of this member that it refuted
 * @param removals         members that were removed from this member's view
 * @param staleMessages    received messages from incarnations that had ended
 */
public record MembershipCounts(long probes, long unansweredProbes, long suspicions, long refutations, long removals,
        long staleMessages) {}

package wallmoor.migration.http;

import wallmoor.migration.MigrationPlan;
import wallmoor.migration.UnreadablePlanException;
import wallmoor.rules.DocumentSchemas;
import wallmoor.rules.InvalidRuleException;
import wallmoor.rules.RuleDocument;

/** Reads the plan from versions of its document. */
public final class PlanDocuments {
    private PlanDocuments() {}

    /** Decodes the plan from a version of the document. */
    public static MigrationPlan decode(RuleDocument document) throws PlanStoreException {
        try {
            return MigrationPlan.decode(DocumentSchemas.PLAN.validate(document));
        } catch (InvalidRuleException | UnreadablePlanException e) {
            throw unreadable(document.version(), e);
        }
    }

    /** Decodes the plan from a version's body. */
    static MigrationPlan decode(long version, String body) throws PlanStoreException {
        try {
            return MigrationPlan.decode(DocumentSchemas.PLAN.parse(body));
        } catch (InvalidRuleException | UnreadablePlanException e) {
            throw unreadable(version, e);
        }
    }

    private static PlanStoreException unreadable(long version, Exception cause) {
        return new PlanStoreException("version " + version + " of the plan cannot be read by this program: "
                + cause.getMessage() + "; use the program that wrote it", cause);
    }
}

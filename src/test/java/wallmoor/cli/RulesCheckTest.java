package wallmoor.cli;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;

/** Checks that {@code rules check} contacts no gatherer and prints the body and fallback of a proposal. */
public class RulesCheckTest {
    @Rule
    public final TemporaryFolder folder = new TemporaryFolder();

    private Console check(String name, String body) throws Exception {
        Path file = Files.writeString(folder.newFile().toPath(), body);
        return Console.run("rules", "check", name, file.toString());
    }

    @Test
    public void fallbackKeepsRestrictionsWithoutPermissions() throws Exception {
        Console result = check("settings",
                "{\"limits.open\":200,\"allowances.t\":2.5,\"allow.x\":true,\"forbid.y\":true,\"values.z\":\"q\"}");
        assertEquals(0, result.code());
        assertTrue(result.out(), result.out().contains("fallback  {\"forbid.y\":true,\"limits.open\":200}"));
        assertTrue(result.out(), result.out().contains("\"allowances.t\":2.5"));
        assertTrue(check("list", "{\"nodes\":[\"b\",\"a\"],\"draining\":[\"a\"]}").out()
                .contains("body      {\"draining\":[\"a\"],\"nodes\":[\"a\",\"b\"]}"));
        assertEquals(0, Console.run("rules", "check", "settings", "example/settings.json").code());
    }

    @Test
    public void rejectsInvalidBodiesAndNamesTheField() throws Exception {
        assertTrue(check("settings", "{\"limits.open\":\"many\"}").err().contains("limits.open"));
        assertTrue(check("settings", "{\"limit.open\":1}").err().contains("limit.open is not a field"));
        assertEquals(2, check("setings", "{}").code());
        assertEquals(2, check("settings", "{").code());
        assertEquals(2, Console.run("rules", "check", "settings", "nowhere.json").code());
        assertEquals(4, Console.run("rules", "show", "--at", "127.0.0.1:1").code());
    }
}

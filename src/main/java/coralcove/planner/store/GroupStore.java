package coralcove.planner.store;

import coralcove.GroupFacts;
import coralcove.Plan;
import coralcove.planner.Frame;
import coralcove.store.EntryStore;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * A planner's facts and an edge's plans on disk, one entry a group; the frame has the form's
 * version and the checksum.
 */
public final class GroupStore {
    private GroupStore() {}

    /** A planner's facts; opened or made, and {@code said} hears what was left and why. */
    public static EntryStore<Integer, GroupFacts> facts(Path path, Consumer<String> said) {
        return new EntryStore<>(
                path,
                new EntryStore.Form<>(
                        "facts",
                        GroupFacts::number,
                        each -> new Frame.Facts(List.of(each)).bytes(),
                        entry ->
                                sound(
                                        entry,
                                        frame ->
                                                frame instanceof Frame.Facts facts
                                                                && facts.groups().size() == 1
                                                        ? facts.groups().get(0)
                                                        : null)),
                said);
    }

    /** An edge's plans, one group in each. */
    public static EntryStore<Integer, Plan> plans(Path path, Consumer<String> said) {
        return new EntryStore<>(
                path,
                new EntryStore.Form<>(
                        "plans",
                        plan -> plan.groups().get(0).number(),
                        plan -> new Frame.Planned(plan).bytes(),
                        entry ->
                                sound(
                                        entry,
                                        frame ->
                                                frame instanceof Frame.Planned planned
                                                                && planned.plan().groups().size()
                                                                        == 1
                                                        ? planned.plan()
                                                        : null)),
                said);
    }

    private static <T> T sound(byte[] entry, Function<Frame, T> in) {
        if (entry.length < Frame.HEAD) {
            return null;
        }
        try {
            return in.apply(Frame.read(Arrays.copyOfRange(entry, 4, entry.length)));
        } catch (Frame.Bad e) {
            return null;
        }
    }
}

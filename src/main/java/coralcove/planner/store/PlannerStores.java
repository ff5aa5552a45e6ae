package coralcove.planner.store;

import coralcove.GroupLoad;
import coralcove.Plan;
import coralcove.planner.Frame;
import coralcove.store.EntryStore;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * Opens the disk stores of a planner's group loads and of an edge's plans. Each holds one entry per
 * trunk group, encoded as a frame of the link with its version and checksum.
 */
public final class PlannerStores {
    private PlannerStores() {}

    /**
     * Opens or creates the store of a planner's group loads. Whatever is discarded is reported to
     * {@code warnings} with the reason.
     */
    public static EntryStore<Integer, GroupLoad> openLoadStore(
            Path path, Consumer<String> warnings) {
        return new EntryStore<>(
                path,
                new EntryStore.Format<>(
                        "facts",
                        GroupLoad::number,
                        load -> new Frame.GroupLoads(List.of(load)).encode(),
                        entry ->
                                decode(
                                        entry,
                                        frame ->
                                                frame instanceof Frame.GroupLoads loads
                                                                && loads.groups().size() == 1
                                                        ? loads.groups().get(0)
                                                        : null)),
                warnings);
    }

    /**
     * Opens or creates the store of an edge's plans, one group in each. Whatever is discarded is
     * reported to {@code warnings} with the reason.
     */
    public static EntryStore<Integer, Plan> openPlanStore(Path path, Consumer<String> warnings) {
        return new EntryStore<>(
                path,
                new EntryStore.Format<>(
                        "plans",
                        plan -> plan.groups().get(0).number(),
                        plan -> new Frame.PlanOffer(plan).encode(),
                        entry ->
                                decode(
                                        entry,
                                        frame ->
                                                frame instanceof Frame.PlanOffer offer
                                                                && offer.plan().groups().size() == 1
                                                        ? offer.plan()
                                                        : null)),
                warnings);
    }

    /** Decodes an entry and extracts its value; null if the entry is malformed. */
    private static <T> T decode(byte[] entry, Function<Frame, T> extract) {
        if (entry.length < Frame.HEADER_BYTES) {
            return null;
        }
        try {
            return extract.apply(
                    Frame.decode(Arrays.copyOfRange(entry, Frame.LENGTH_BYTES, entry.length)));
        } catch (Frame.MalformedFrameException e) {
            return null;
        }
    }
}

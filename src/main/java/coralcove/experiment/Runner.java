package coralcove.experiment;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Runs a plan over workers, and only what the store does not have. Whether more seeds are needed is
 * decided between blocks of them, from whole blocks only, so that results are the same however many
 * workers there are and however often it was killed.
 */
public final class Runner {
    /** Seeds of one block past the least ones. */
    private static final int BLOCK = 4;

    /** Runs in a row whose worker could not be started after which it is given up. */
    private static final int MOST_STARTS = 3;

    /** Hears how it goes. */
    public interface Progress {
        void ran(Plan.Run run, ObjectNode result, String error, int left);

        void decided(String what);
    }

    /** A store that has grown to its bound. */
    public static final class Full extends IOException {
        private static final long serialVersionUID = 1;

        Full(long bytes, long most) {
            super(
                    "results fill "
                            + bytes
                            + " bytes of at most "
                            + most
                            + " (most_mb): nothing more is run");
        }
    }

    private final Plan plan;
    private final ResultStore store;
    private final String version;
    private final int workers;
    private final int heap;
    private final Progress progress;

    /** {@code heap} is each worker's in MB. */
    public Runner(
            Plan plan,
            ResultStore store,
            String version,
            int workers,
            int heap,
            Progress progress) {
        this.plan = plan;
        this.store = store;
        this.version = version;
        this.workers = workers;
        this.heap = heap;
        this.progress = progress;
    }

    /**
     * Returns the seeds that were needed; runs that failed before are tried again with {@code
     * retry}.
     */
    public int run(boolean retry) throws IOException {
        Plan.Stop stop = plan.stop();
        int done = 0;
        while (done < plan.seeds()) {
            int block =
                    Math.min(
                            plan.seeds() - done,
                            stop == null ? plan.seeds() : done == 0 ? stop.leastSeeds() : BLOCK);
            all(
                    plan.runs(plan.firstSeed() + done, block).stream()
                            .filter(run -> !store.done(run, !retry))
                            .toList());
            done += block;
            if (stop != null && done < plan.seeds() && known(stop, done)) {
                progress.decided(
                        "stopped after "
                                + done
                                + " seeds: each difference from "
                                + stop.base()
                                + " is known to "
                                + stop.halfWidth());
                return done;
            }
        }
        return done;
    }

    /**
     * Whether each level's paired difference from the base is known well enough, at each
     * combination of the others.
     */
    private boolean known(Plan.Stop stop, int seeds) {
        List<Outcome> outcomes = new ArrayList<>();
        for (Plan.Run each : plan.runs(plan.firstSeed(), seeds)) {
            outcomes.add(store.get(each));
        }
        for (Paired each : Paired.of(outcomes, stop.factor(), stop.base(), "share")) {
            if (each.differences().length < stop.leastSeeds()
                    || each.halfWidth() > stop.halfWidth()) {
                return false;
            }
        }
        return true;
    }

    /** Runs these, but for those that have their result. */
    public void play(List<Plan.Run> runs) throws IOException {
        all(runs.stream().filter(run -> !store.done(run, true)).toList());
    }

    private void all(List<Plan.Run> todo) throws IOException {
        Iterator<Plan.Run> next = todo.iterator();
        int[] left = {todo.size()};
        AtomicBoolean end = new AtomicBoolean();
        List<IOException> troubles = new ArrayList<>();
        List<RuntimeException> faults = new ArrayList<>();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < Math.min(workers, todo.size()); i++) {
            Thread thread =
                    new Thread(
                            () -> {
                                try {
                                    work(next, left, end);
                                } catch (IOException e) {
                                    end.set(true);
                                    synchronized (next) {
                                        troubles.add(e);
                                    }
                                } catch (RuntimeException e) {
                                    end.set(true);
                                    synchronized (next) {
                                        faults.add(e);
                                    }
                                }
                            },
                            "runs-" + i);
            threads.add(thread);
            thread.start();
        }
        for (Thread thread : threads) {
            try {
                thread.join();
            } catch (InterruptedException e) {
                end.set(true);
                Thread.currentThread().interrupt();
            }
        }
        if (!faults.isEmpty()) {
            throw faults.get(0);
        }
        if (!troubles.isEmpty()) {
            throw troubles.get(0);
        }
    }

    private void work(Iterator<Plan.Run> next, int[] left, AtomicBoolean end) throws IOException {
        Worker worker = null;
        int starts = 0;
        try {
            while (!end.get()) {
                Plan.Run run;
                synchronized (next) {
                    if (!next.hasNext()) {
                        return;
                    }
                    run = next.next();
                }
                ObjectNode result = null;
                String error = "";
                try {
                    if (worker == null || !worker.alive()) {
                        worker = null;
                        worker = new Worker(heap);
                        starts = 0;
                    }
                    result = worker.play(run, plan.bounded(), plan.patience());
                } catch (Worker.Failed e) {
                    error = e.getMessage();
                    if (worker == null && ++starts >= MOST_STARTS) {
                        throw new IOException("workers cannot be started");
                    }
                }
                synchronized (next) {
                    store.put(run, version, result, error);
                    left[0]--;
                    progress.ran(run, result, error, left[0]);
                    if (store.bytes() > plan.mostBytes()) {
                        throw new Full(store.bytes(), plan.mostBytes());
                    }
                }
            }
        } finally {
            if (worker != null) {
                worker.close();
            }
        }
    }
}

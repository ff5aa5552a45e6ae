package coralcove.experiment;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Executes the runs of a plan that have no stored result, on several worker processes. Whether more
 * seeds are needed is decided after each block of seeds, from complete blocks only, so that the
 * results do not depend on the number of workers or on interruptions.
 */
public final class ExperimentRunner {
    /** Seeds of each block after the first one, which has the minimum number of seeds. */
    private static final int SEEDS_PER_BLOCK = 4;

    /** Consecutive failures to start a worker after which the experiment is aborted. */
    private static final int MAX_START_FAILURES = 3;

    /** Receives progress events. */
    public interface Progress {
        /** A run has ended: {@code result} is null if it failed, and {@code left} are to do. */
        void runEnded(ExperimentPlan.Run run, ObjectNode result, String error, int left);

        /** The experiment ended before all seeds were run, for the reason given. */
        void endedEarly(String reason);
    }

    /** The result store has reached its maximum size. */
    public static final class ResultStoreFullException extends IOException {
        private static final long serialVersionUID = 1;

        ResultStoreFullException(long bytes, long maxBytes) {
            super(
                    "results fill "
                            + bytes
                            + " bytes of at most "
                            + maxBytes
                            + " (most_mb): nothing more is run");
        }
    }

    private final ExperimentPlan plan;
    private final ResultStore store;
    private final String version;
    private final int workers;
    private final int workerHeapMb;
    private final Progress progress;

    /**
     * Creates a runner.
     *
     * @param version version of the program, stored with each result
     * @param workers number of worker processes
     * @param workerHeapMb heap of each worker, MB
     */
    public ExperimentRunner(
            ExperimentPlan plan,
            ResultStore store,
            String version,
            int workers,
            int workerHeapMb,
            Progress progress) {
        this.plan = plan;
        this.store = store;
        this.version = version;
        this.workers = workers;
        this.workerHeapMb = workerHeapMb;
        this.progress = progress;
    }

    /**
     * Executes the plan and returns the number of seeds that were needed.
     *
     * @param retryFailed whether runs that failed before are executed again
     */
    public int run(boolean retryFailed) throws IOException {
        ExperimentPlan.StoppingRule rule = plan.stoppingRule();
        int seedsDone = 0;
        while (seedsDone < plan.seeds()) {
            int block =
                    Math.min(
                            plan.seeds() - seedsDone,
                            rule == null
                                    ? plan.seeds()
                                    : seedsDone == 0 ? rule.minSeeds() : SEEDS_PER_BLOCK);
            executeAll(
                    plan.runs(plan.firstSeed() + seedsDone, block).stream()
                            .filter(run -> !store.isDone(run, !retryFailed))
                            .toList());
            seedsDone += block;
            if (rule != null && seedsDone < plan.seeds() && differencesKnown(rule, seedsDone)) {
                progress.endedEarly(
                        "stopped after "
                                + seedsDone
                                + " seeds: each difference from "
                                + rule.baseLevel()
                                + " is known to "
                                + rule.halfWidth());
                return seedsDone;
            }
        }
        return seedsDone;
    }

    /**
     * Whether the difference of each level from the base level is known to the required half width,
     * for each combination of the other factors.
     */
    private boolean differencesKnown(ExperimentPlan.StoppingRule rule, int seeds) {
        List<Outcome> outcomes = new ArrayList<>();
        for (ExperimentPlan.Run run : plan.runs(plan.firstSeed(), seeds)) {
            outcomes.add(store.get(run));
        }
        for (PairedDifferences pair :
                PairedDifferences.of(outcomes, rule.factorKey(), rule.baseLevel(), "share")) {
            if (pair.differences().length < rule.minSeeds()
                    || pair.halfWidth() > rule.halfWidth()) {
                return false;
            }
        }
        return true;
    }

    /** Executes those of the runs that have no stored outcome; failed runs are not retried. */
    public void executeMissing(List<ExperimentPlan.Run> runs) throws IOException {
        executeAll(runs.stream().filter(run -> !store.isDone(run, true)).toList());
    }

    private void executeAll(List<ExperimentPlan.Run> runs) throws IOException {
        Iterator<ExperimentPlan.Run> pending = runs.iterator();
        int[] remaining = {runs.size()};
        AtomicBoolean stopped = new AtomicBoolean();
        List<IOException> ioFailures = new ArrayList<>();
        List<RuntimeException> failures = new ArrayList<>();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < Math.min(workers, runs.size()); i++) {
            Thread thread =
                    new Thread(
                            () -> {
                                try {
                                    executeRuns(pending, remaining, stopped);
                                } catch (IOException e) {
                                    stopped.set(true);
                                    synchronized (pending) {
                                        ioFailures.add(e);
                                    }
                                } catch (RuntimeException e) {
                                    stopped.set(true);
                                    synchronized (pending) {
                                        failures.add(e);
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
                stopped.set(true);
                Thread.currentThread().interrupt();
            }
        }
        if (!failures.isEmpty()) {
            throw failures.get(0);
        }
        if (!ioFailures.isEmpty()) {
            throw ioFailures.get(0);
        }
    }

    private void executeRuns(
            Iterator<ExperimentPlan.Run> pending, int[] remaining, AtomicBoolean stopped)
            throws IOException {
        Worker worker = null;
        int startFailures = 0;
        try {
            while (!stopped.get()) {
                ExperimentPlan.Run run;
                synchronized (pending) {
                    if (!pending.hasNext()) {
                        return;
                    }
                    run = pending.next();
                }
                ObjectNode result = null;
                String error = "";
                try {
                    if (worker == null || !worker.isAlive()) {
                        worker = null;
                        worker = new Worker(workerHeapMb);
                        startFailures = 0;
                    }
                    result = worker.execute(run, plan.boundRequired(), plan.runTimeoutSeconds());
                } catch (Worker.RunFailedException e) {
                    error = e.getMessage();
                    if (worker == null && ++startFailures >= MAX_START_FAILURES) {
                        throw new IOException("workers cannot be started");
                    }
                }
                synchronized (pending) {
                    store.put(run, version, result, error);
                    remaining[0]--;
                    progress.runEnded(run, result, error, remaining[0]);
                    if (store.sizeBytes() > plan.maxResultBytes()) {
                        throw new ResultStoreFullException(
                                store.sizeBytes(), plan.maxResultBytes());
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

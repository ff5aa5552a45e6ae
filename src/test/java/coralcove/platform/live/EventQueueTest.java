package coralcove.platform.live;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

class EventQueueTest {
    private static final int READ_BYTES = 4 << 10;

    private final List<String> flow = new ArrayList<>();
    private final StringBuilder order = new StringBuilder();
    private final EventQueue queue =
            new EventQueue(
                    new EventQueue.FlowControl() {
                        @Override
                        public void suspend(long connection) {
                            flow.add("suspend " + connection);
                        }

                        @Override
                        public void resume(long connection) {
                            flow.add("resume " + connection);
                        }
                    });

    private void runNext() throws InterruptedException {
        queue.next(0).action().run();
    }

    @Test
    void returnsExchangeEventsFirstAndBlocksTheirProducerOnceFull() throws Exception {
        queue.addFromCaller(1, 1, () -> order.append('c'));
        queue.addPriority(1, () -> order.append('e'));
        runNext();
        runNext();
        assertThat(order.toString()).isEqualTo("ec");
        assertThat(queue.next(0)).isNull();
        AtomicInteger added = new AtomicInteger();
        CountDownLatch done = new CountDownLatch(1);
        Thread producer =
                new Thread(
                        () -> {
                            for (int i = 0; i < 30_000; i++) {
                                queue.addPriority(0, () -> {});
                                added.incrementAndGet();
                            }
                            done.countDown();
                        });
        producer.start();
        while (added.get() < 20_000) {
            Thread.onSpinWait();
        }
        assertThat(done.await(100, TimeUnit.MILLISECONDS)).isFalse();
        assertThat(added.get()).isEqualTo(20_000);
        while (!done.await(0, TimeUnit.MILLISECONDS)) {
            queue.next(1000);
        }
        producer.join();
    }

    /** Guards against a client at full speed that delays what others have sent after it. */
    @Test
    void servesConnectionsInTurns() throws Exception {
        for (int read = 0; read < 10; read++) {
            queue.addFromCaller(1, READ_BYTES, () -> order.append('1'));
        }
        for (int read = 0; read < 2; read++) {
            queue.addFromCaller(2, READ_BYTES, () -> order.append('2'));
        }
        queue.addFromCaller(3, 100, () -> order.append('3'));
        queue.addFromCaller(3, 100, () -> order.append('3'));
        for (int i = 0; i < 14; i++) {
            runNext();
        }
        assertThat(order.toString()).isEqualTo("12331211111111");
        assertThat(queue.next(0)).isNull();
    }

    /**
     * Guards against a client at full speed whose input fills the queue, so that nobody is read.
     */
    @Test
    void readsAConnectionNoFurtherUntilWhatItHasQueuedIsProcessed() throws Exception {
        for (int read = 1; read <= 4; read++) {
            queue.addFromCaller(1, READ_BYTES, () -> {});
        }
        queue.addFromCaller(2, 100, () -> {});
        assertThat(flow).containsExactly("suspend 1");
        for (int i = 0; i < 4; i++) {
            runNext();
        }
        assertThat(flow).containsExactly("suspend 1", "resume 2");
        runNext();
        assertThat(flow).containsExactly("suspend 1", "resume 2", "resume 1");
    }

    /** Guards against many clients that each stay below their bound and fill the memory. */
    @Test
    void readsNoConnectionFurtherWhileTheTotalIsAboveItsBound() {
        int connections = (2 << 20) / READ_BYTES;
        for (int connection = 1; connection <= connections; connection++) {
            queue.addFromCaller(connection, READ_BYTES, () -> {});
        }
        assertThat(flow).isNotEmpty().hasSizeLessThan(20);
        queue.addFromCaller(connections + 1, 100, () -> {});
        assertThat(flow).endsWith("suspend " + (connections + 1));
    }

    /** Guards against set-ups that are sent on after their caller has left. */
    @Test
    void processesAClosedConnectionNext() throws Exception {
        for (int connection = 1; connection <= 3; connection++) {
            for (int read = 0; read < 2; read++) {
                String name = Integer.toString(connection);
                queue.addFromCaller(connection, READ_BYTES, () -> order.append(name));
            }
        }
        queue.addClosedByCaller(3, () -> order.append('x'));
        assertThat(queue.hasEventsOf(3)).isTrue();
        for (int i = 0; i < 7; i++) {
            runNext();
        }
        assertThat(order.toString()).isEqualTo("33x1212");
        assertThat(queue.hasEventsOf(3)).isFalse();
    }
}

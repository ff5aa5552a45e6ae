package coralcove.exchange;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import coralcove.sip.TimerWheel;
import coralcove.theory.SingleServerQueue;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Compares the simulated processor's queueing delay with the M/G/1 formula (Pollaczek-Khinchine).
 */
class ProcessorTest {
    @Test
    void meanWaitMatchesTheSingleServerQueue() {
        for (double utilization : new double[] {0.3, 0.6, 0.85}) {
            SplittableRandom random = new SplittableRandom(7);
            Processor processor = new Processor(new TimerWheel(), 0, 1, 1);
            // Three service times, in µs.
            long[] serviceTimes = {300, 1000, 4000};
            double mean = (300 + 1000 + 4000) / 3.0;
            double meanSquare = (300.0 * 300 + 1000.0 * 1000 + 4000.0 * 4000) / 3;
            double rate = utilization / mean;
            long now = 1;
            double totalWait = 0;
            int arrivals = 400_000;
            for (int i = 0; i < arrivals; i++) {
                now += Math.max(1, Math.round(-Math.log(1 - random.nextDouble()) / rate));
                totalWait += processor.queueingDelay(now);
                processor.enqueue(now, serviceTimes[random.nextInt(3)], Processor::noAction);
            }
            double expected = SingleServerQueue.meanWait(rate, mean, meanSquare);
            assertThat(totalWait / arrivals).isCloseTo(expected, within(0.04 * expected));
        }
    }
}

package coralcove.platform;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class DescriptorBudgetTest {
    @Test
    void partsFitIntoLimitIfMinimumOfEachPartDoes() {
        // Guards against limits of the parts that exceed the total together: 0.7 of 512 for callers
        // and two connections to each of 60 exchanges, some being replaced, need 550.
        for (int total = 200; total <= 2_000; total += 4) {
            for (int exchanges = 1; exchanges <= 300; exchanges++) {
                DescriptorBudget budget = new DescriptorBudget(total, exchanges);
                double exchangeConnections = budget.connectionsPerExchange() * 1.6 * exchanges;
                if (40 + 0.36 * total + 1.6 * exchanges <= total) {
                    assertThat(40 + budget.maxCallerConnections() + exchangeConnections)
                            .as(total + " for " + exchanges)
                            .isLessThanOrEqualTo(total);
                }
                assertThat(budget.maxValidSenders()).isGreaterThanOrEqualTo(total / 3);
                assertThat(budget.maxCallersInCore())
                        .isLessThanOrEqualTo(budget.maxCallerConnections());
            }
        }
        assertThat(new DescriptorBudget(512, 60).connectionsPerExchange()).isEqualTo(2);
        assertThat(new DescriptorBudget(256, 94).connectionsPerExchange()).isEqualTo(1);
    }
}

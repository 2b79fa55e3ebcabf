package org.masticcroft.service.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticcroft.ports.instance.Instance;

class AppendBudgetTest {
    private static AppendBudget fleet(int entries, int sidecars) {
        List<Instance> instances = new ArrayList<>();
        for (int i = 0; i < entries + sidecars; i++) {
            Instance.Role role = i < entries ? Instance.Role.ENTRY : Instance.Role.SIDECAR;
            instances.add(
                    new Instance("i" + i, role, "r", "d", "127.0.0.1", 0, 0, 0, Instance.State.LIVE, Optional.empty()));
        }
        return AppendBudget.of(() -> instances);
    }

    @Nested
    class SmallFleet {
        @Test
        void keepsTheBaseIntervals() {
            AppendBudget budget = fleet(4, 15);
            assertThat(budget.scaledInterval(AppendBudget.ENTRY_FLUSH)).isEqualTo(AppendBudget.ENTRY_FLUSH);
            assertThat(budget.scaledInterval(AppendBudget.SIDECAR_FLUSH)).isEqualTo(AppendBudget.SIDECAR_FLUSH);
        }
    }

    @Nested
    class LargeFleet {
        /** Guards against a large fleet whose account uses up the append rate of the log. */
        @Test
        void staysWithinTheAppendRateOfTheAccount() {
            AppendBudget budget = fleet(340, 600);
            double rate = 340 / seconds(budget.scaledInterval(AppendBudget.ENTRY_FLUSH))
                    + 600 / seconds(budget.scaledInterval(AppendBudget.SIDECAR_FLUSH));
            assertThat(rate).isBetween(95.0, 101.0);
        }

        private static double seconds(Duration duration) {
            return duration.toMillis() / 1000.0;
        }
    }
}

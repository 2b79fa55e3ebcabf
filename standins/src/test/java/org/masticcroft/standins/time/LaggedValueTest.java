package org.masticcroft.standins.time;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

class LaggedValueTest {
    private final AtomicLong clock = new AtomicLong();
    private final LaggedValue<String> value = LaggedValue.of("old", () -> 100, clock::get);

    /** Guards against an instance list or load report that shows changes without lag. */
    @Test
    void showsAChangeOnlyAfterTheLag() {
        value.set("new");
        clock.set(99);
        assertThat(value.visible()).isEqualTo("old");
        clock.set(100);
        assertThat(value.visible()).isEqualTo("new");
    }

    /** Guards against a lag that restarts with each change, which would hide all changes while they are frequent. */
    @Test
    void showsEachChangeAfterItsOwnLag() {
        value.set("first");
        clock.set(60);
        value.set("second");
        clock.set(120);
        assertThat(value.visible()).isEqualTo("first");
        assertThat(value.newest()).isEqualTo("second");
    }
}

package org.masticcroft.entry.suspect;

import java.time.Instant;
import org.jetbrains.lincheck.datastructures.IntGen;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.Param;
import org.jetbrains.lincheck.datastructures.StressOptions;
import org.junit.jupiter.api.Test;
import org.masticcroft.kernel.time.ManualTimeSource;

/** Guards against crashes that are lost or counted twice when the requests of a batch end on several threads. */
@Param(name = "request", gen = IntGen.class, conf = "1:2")
@Param(name = "upstream", gen = IntGen.class, conf = "1:2")
public class SuspectTableLincheckTest {
    private final SuspectTable table = SuspectTable.of(ManualTimeSource.of(Instant.EPOCH));

    @Operation
    public void start(@Param(name = "upstream") int upstream, @Param(name = "request") int request) {
        table.onStart("e" + upstream, "r" + request);
    }

    @Operation
    public void end(@Param(name = "upstream") int upstream, @Param(name = "request") int request) {
        table.onEnd("e" + upstream, "r" + request);
    }

    @Operation
    public int crash(@Param(name = "upstream") int upstream, @Param(name = "request") int request) {
        return table.onCrash("e" + upstream, "i", "r" + request);
    }

    @Operation
    public boolean mayRun(@Param(name = "upstream") int upstream, @Param(name = "request") int request) {
        return table.mayRunOn("e" + upstream, "r" + request);
    }

    @Test
    void isLinearizable() {
        new StressOptions()
                .iterations(10)
                .threads(2)
                .actorsPerThread(3)
                .invocationsPerIteration(300)
                .check(SuspectTableLincheckTest.class);
    }
}

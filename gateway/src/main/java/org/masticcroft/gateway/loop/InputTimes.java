package org.masticcroft.gateway.loop;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import io.netty.channel.nio.NioIoHandler;
import java.time.Duration;
import java.util.Objects;
import org.masticcroft.kernel.time.TimeSource;

/**
 * Notes when an event loop selects its input, which bounds the time for which an input has waited: whatever it handles
 * now was not there at the selection before. Used on that event loop only.
 */
public final class InputTimes implements InputClock {
    /** Longest wait whose begin is taken for the earliest arrival; the event loop of an entry waits no longer. */
    private static final Duration SHORT_WAIT = Duration.ofMillis(20);

    /** Time by which a selection may return after it was due, before the process counts as paused. */
    private static final Duration WAKEUP_DELAY = Duration.ofMillis(20);

    private final TimeSource time;
    private long selectedNanos;
    private long earliestArrivalNanos;
    private boolean pausedWhileWaiting;
    private Duration longestWait = Duration.ZERO;

    private InputTimes(TimeSource time) {
        this.time = time;
        this.selectedNanos = time.nanoTime();
        this.earliestArrivalNanos = selectedNanos;
    }

    /** Creates the times of an event loop that has not selected any input yet. */
    public static InputTimes of(TimeSource time) {
        return new InputTimes(Objects.requireNonNull(time, "time"));
    }

    /** Returns the factory of the I/O handler of the event loop, which must have one thread. */
    public IoHandlerFactory ioHandlerFactory() {
        IoHandlerFactory nio = NioIoHandler.newFactory();
        return executor -> new NotingHandler(nio.newHandler(executor));
    }

    @Override
    public long earliestArrivalNanos() {
        return earliestArrivalNanos;
    }

    @Override
    public Duration sinceSelection() {
        return time.since(selectedNanos);
    }

    @Override
    public Duration longestWait() {
        return time.since(earliestArrivalNanos);
    }

    /** Returns the longest time from the earliest arrival of an input to the end of its turn since the last call. */
    Duration takeLongestWait() {
        Duration taken = longestWait;
        longestWait = Duration.ZERO;
        return taken;
    }

    /**
     * Notes a selection that did not wait for input.
     *
     * @param begunNanos when it began
     */
    void selected(long begunNanos) {
        earliestArrivalNanos = selectedNanos;
        selectedNanos = begunNanos;
    }

    /**
     * Notes a selection that waited for input, right after one that found none.
     *
     * @param begunNanos when it began
     * @param dueNanos latest time at which it was to return
     */
    void selectedAfterWait(long begunNanos, long dueNanos) {
        long now = time.nanoTime();
        pausedWhileWaiting = now - dueNanos > WAKEUP_DELAY.toNanos();
        if (pausedWhileWaiting) {
            earliestArrivalNanos = selectedNanos;
        } else {
            // A long wait returned with its first input, apart from the time in which the thread was woken.
            boolean shortWait = dueNanos - begunNanos <= SHORT_WAIT.toNanos();
            earliestArrivalNanos = shortWait ? begunNanos : now;
            selectedNanos = earliestArrivalNanos;
        }
    }

    /** Notes the end of the turn in which the input of a selection was handled. */
    void handled() {
        Duration wait = longestWait();
        longestWait = wait.compareTo(longestWait) > 0 ? wait : longestWait;
    }

    /** Handles I/O as the given handler does, and notes the selections. */
    private final class NotingHandler implements IoHandler {
        private final IoHandler handler;

        private NotingHandler(IoHandler handler) {
            this.handler = handler;
        }

        @Override
        public int run(IoHandlerContext context) {
            // Only a selection that does not wait tells whether there was input already.
            long now = time.nanoTime();
            long dueNanos = context.canBlock() ? now + context.delayNanos(now) : now;
            int inputs = handler.run(new NotingContext(context, false, dueNanos));
            if (inputs == 0 && context.canBlock()) {
                inputs = handler.run(new NotingContext(context, true, dueNanos));
                if (pausedWhileWaiting) {
                    // The wait may have ended without the input that came meanwhile, which goes before overdue timers.
                    inputs += handler.run(new NotingContext(context, false, dueNanos));
                }
            }
            if (inputs > 0) {
                handled();
            }
            return inputs;
        }

        @Override
        public void initialize() {
            handler.initialize();
        }

        @Override
        public void prepareToDestroy() {
            handler.prepareToDestroy();
        }

        @Override
        public void destroy() {
            handler.destroy();
        }

        @Override
        public IoRegistration register(IoHandle handle) throws Exception {
            return handler.register(handle);
        }

        @Override
        public void wakeup() {
            handler.wakeup();
        }

        @Override
        public boolean isCompatible(Class<? extends IoHandle> handleType) {
            return handler.isCompatible(handleType);
        }
    }

    /** Context of one run of the handler, which asks for the active time right after the selection. */
    private final class NotingContext implements IoHandlerContext {
        private final IoHandlerContext context;
        private final boolean mayWait;
        private final long dueNanos;
        private final long begunNanos = time.nanoTime();

        private NotingContext(IoHandlerContext context, boolean mayWait, long dueNanos) {
            this.context = context;
            this.mayWait = mayWait;
            this.dueNanos = dueNanos;
        }

        @Override
        public boolean shouldReportActiveIoTime() {
            if (mayWait) {
                selectedAfterWait(begunNanos, dueNanos);
            } else {
                selected(begunNanos);
            }
            return context.shouldReportActiveIoTime();
        }

        @Override
        public void reportActiveIoTime(long activeNanos) {
            context.reportActiveIoTime(activeNanos);
        }

        @Override
        public boolean canBlock() {
            return mayWait;
        }

        @Override
        public long delayNanos(long currentTimeNanos) {
            return context.delayNanos(currentTimeNanos);
        }

        @Override
        public long deadlineNanos() {
            return context.deadlineNanos();
        }
    }
}

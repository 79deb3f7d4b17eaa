package org.balsambank.standin.engine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.reactivex.rxjava3.schedulers.TestScheduler;
import io.vertx.core.json.JsonObject;
import org.balsambank.core.time.SchedulerTimerService;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests the engine model in virtual time. */
class EngineModelTest {
    private static final int SLOTS = 2;
    private static final int CONCURRENCY = 4;

    private final TestScheduler scheduler = new TestScheduler();

    private EngineModel fenced;
    private EngineModel unfenced;

    @BeforeEach
    void start() {
        fenced = engine(true);
        unfenced = engine(false);
    }

    @Test
    void answersTokenByToken() {
        load(unfenced, "a@1");
        final RecordingSink sink = submit(unfenced, "a@1", "prompt", 0, 0);
        advanceMillis(1000);
        assertEquals(AnswerText.answer("a@1", "prompt", 3), sink.text.toString());
        assertTrue(sink.completed);
    }

    @Test
    void skipsTokensWhenResumed() {
        load(unfenced, "a@1");
        final RecordingSink sink = new RecordingSink();
        unfenced.submit(new GenerationRequest("r", "a@1", "prompt", 3, 2, 0, 0), sink);
        advanceMillis(1000);
        assertEquals(AnswerText.token("a@1", "prompt", 2), sink.text.toString());
    }

    @Test
    void rejectsRequestsForAdaptersThatAreNotLoaded() {
        final Admission admission = unfenced.submit(generation("a@1", "prompt", 0, 0), new RecordingSink());
        assertEquals(Admission.NOT_LOADED, admission);
        assertEquals(0, unfenced.stats().started);
    }

    @Test
    void rejectsLoadsWithoutAFreeSlot() {
        load(unfenced, "a@1");
        load(unfenced, "b@1");
        assertEquals(Admission.NO_SLOT, unfenced.load("c@1", 0).blockingGet());
        unfenced.unload("a@1", 0);
        load(unfenced, "c@1");
        assertTrue(unfenced.report().runningByAdapter().containsKey("c@1"));
    }

    @Test
    void countsEvictionsThatAbortRequests() {
        load(unfenced, "a@1");
        final RecordingSink sink = submit(unfenced, "a@1", "prompt", 0, 0);
        unfenced.unload("a@1", 0);
        assertEquals(1, unfenced.stats().evictedWhileServing);
        assertTrue(sink.aborted);
    }

    @Test
    void rejectsStaleFencingNumbersOnlyWhenFencingIsEnabled() {
        fenced.unload("x@1", 7);
        unfenced.unload("x@1", 7);
        assertEquals(Admission.FENCED, fenced.unload("x@1", 6));
        assertEquals(Admission.ACCEPTED, unfenced.unload("x@1", 6));
        assertEquals(1, fenced.stats().fenced);
        assertEquals(1, unfenced.stats().oldFencingTaken);
    }

    @Test
    void restartsUnderFullLoadWhileCold() {
        load(unfenced, "a@1");
        final String bootId = unfenced.report().bootId();
        final List<RecordingSink> sinks = new ArrayList<>();
        for (int i = 0; i < CONCURRENCY; i++) {
            sinks.add(submitUnchecked("a@1"));
        }
        assertEquals(1, unfenced.stats().fellOver);
        assertFalse(unfenced.report().bootId().equals(bootId));
        assertTrue(sinks.get(0).aborted);
        assertTrue(unfenced.report().runningByAdapter().isEmpty());
    }

    @Test
    void acceptsFullLoadWhenWarm() {
        unfenced.warmUp().complete();
        load(unfenced, "a@1");
        for (int i = 0; i < CONCURRENCY; i++) {
            submit(unfenced, "a@1", "p" + i, 0, 0);
        }
        advanceMillis(1000);
        assertEquals(0, unfenced.stats().fellOver);
        assertEquals(CONCURRENCY, unfenced.stats().finished);
    }

    @Test
    void startsHigherPrioritiesFirst() {
        unfenced.warmUp().complete();
        load(unfenced, "a@1");
        for (int i = 0; i < CONCURRENCY; i++) {
            submit(unfenced, "a@1", "p" + i, 0, 0);
        }
        for (int i = 0; i < CONCURRENCY; i++) {
            submit(unfenced, "a@1", "low" + i, 0, 0);
        }
        final RecordingSink lastLow = submit(unfenced, "a@1", "low", 0, 0);
        final RecordingSink high = submit(unfenced, "a@1", "high", 5, 0);
        for (int millis = 0; millis < 1000 && !high.completed; millis++) {
            advanceMillis(1);
        }
        assertTrue(high.completed);
        assertEquals(0, lastLow.text.length());
    }

    @Test
    void crashesOnTheConfiguredPrompt() {
        load(unfenced, "a@1");
        unfenced.faults().apply(new JsonObject().put("crashOnPrompt", "boom"), 0);
        final RecordingSink sink = submit(unfenced, "a@1", "a boom b", 0, 0);
        assertTrue(sink.aborted);
        assertEquals(1, unfenced.stats().crashes);
    }

    @Test
    void cancelsWhenTheCallerDisconnects() {
        load(unfenced, "a@1");
        final RecordingSink sink = submit(unfenced, "a@1", "prompt", 0, 0);
        unfenced.cancel(sink);
        advanceMillis(1000);
        assertFalse(sink.completed);
        assertEquals(1, unfenced.stats().cancelled);
    }

    @Test
    void failsTheConfiguredNumberOfLoads() {
        unfenced.faults().apply(new JsonObject().put("failLoads", 1), 0);
        final var first = unfenced.load("a@1", 0).test();
        advanceMillis(2000);
        first.assertValue(Admission.BUSY);
        load(unfenced, "a@1");
    }

    private EngineModel engine(final boolean fencing) {
        final var timer = SchedulerTimerService.ofVirtual(scheduler);
        final EngineSettings settings =
                new EngineSettings("e", "base", SLOTS, CONCURRENCY, fencing, Duration.ZERO, Duration.ofMillis(10));
        return new EngineModel(settings, timer, new WeightStore(timer, Duration.ofMillis(250)));
    }

    private void load(final EngineModel engine, final String adapter) {
        final var load = engine.load(adapter, 0).test();
        advanceMillis(2000);
        load.assertValue(Admission.ACCEPTED);
    }

    private RecordingSink submitUnchecked(final String adapter) {
        final RecordingSink sink = new RecordingSink();
        unfenced.submit(generation(adapter, "p", 0, 0), sink);
        return sink;
    }

    private static RecordingSink submit(
            final EngineModel engine,
            final String adapter,
            final String prompt,
            final int priority,
            final long fencingNumber) {
        final RecordingSink sink = new RecordingSink();
        assertEquals(Admission.ACCEPTED, engine.submit(generation(adapter, prompt, priority, fencingNumber), sink));
        return sink;
    }

    private static GenerationRequest generation(
            final String adapter, final String prompt, final int priority, final long fencingNumber) {
        return new GenerationRequest("r", adapter, prompt, 3, 0, priority, fencingNumber);
    }

    private void advanceMillis(final long millis) {
        scheduler.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
    }
}

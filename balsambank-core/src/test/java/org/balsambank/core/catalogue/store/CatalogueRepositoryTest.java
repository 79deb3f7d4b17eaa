package org.balsambank.core.catalogue.store;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.observers.TestObserver;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import org.balsambank.core.catalogue.Catalogue;
import org.balsambank.core.fake.FakeDecisionLoop;
import org.balsambank.core.fake.FakeKeyValueService;
import org.balsambank.core.fake.FakeKeyValueStore;
import org.balsambank.core.id.Revision;
import org.balsambank.core.id.VmId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests the storage of the catalogue in a key-value service with faults. Confined to one thread. */
final class CatalogueRepositoryTest {
    private static final int MAX_VALUE_BYTES = 1_000_000;

    private final TestScheduler clock = new TestScheduler();
    private final FakeKeyValueService service = new FakeKeyValueService(clock, 5);
    private int writes;

    @Test
    void readsBackTheAppliedCatalogue() {
        final CatalogueRepository repository = repository("a");
        final Catalogue desired = CatalogueSamples.catalogue(200, "1");
        assertEquals(
                new Revision(1),
                run(repository.apply(desired, Optional.empty())).revision());
        final Catalogue read = run(repository("b").read()).catalogue();
        assertEquals(EntryEncoder.encode(desired), EntryEncoder.encode(read));
        assertEquals(
                new Revision(1),
                run(repository.apply(desired, Optional.empty())).revision());
    }

    @Test
    void losingConcurrentApplyReportsChangesAndRevision() {
        run(repository("a").apply(CatalogueSamples.catalogue(200, "1"), Optional.empty()));
        final Single<ApplyResult> first =
                repository("a").apply(CatalogueSamples.catalogue(200, "2"), Optional.of(new Revision(1)));
        final Single<ApplyResult> second =
                repository("b").apply(CatalogueSamples.catalogue(150, "1"), Optional.of(new Revision(1)));
        final TestObserver<ApplyResult> firstResult = first.test();
        final TestObserver<ApplyResult> secondResult = second.test();
        clock.advanceTimeBy(30, TimeUnit.SECONDS);
        final TestObserver<ApplyResult> winner = firstResult.values().isEmpty() ? secondResult : firstResult;
        final TestObserver<ApplyResult> loser = winner == firstResult ? secondResult : firstResult;
        assertEquals(new Revision(2), winner.values().get(0).revision());
        loser.assertError(error -> error instanceof ApplyConflictException conflict
                && conflict.current().equals(new Revision(2))
                && conflict.changes().stream()
                        .map(EntryChange::key)
                        .toList()
                        .equals(winner.values().get(0).changes().stream()
                                .map(EntryChange::key)
                                .toList())
                && conflict.changes().stream()
                        .allMatch(change -> change.revision().equals(new Revision(2))));
    }

    @Test
    void staleBaseFailsWithChangesSinceThatRevision() {
        final CatalogueRepository repository = repository("a");
        run(repository.apply(CatalogueSamples.catalogue(20, "1"), Optional.empty()));
        run(repository.apply(CatalogueSamples.catalogue(20, "2"), Optional.empty()));
        run(repository.apply(CatalogueSamples.catalogue(19, "2"), Optional.empty()));
        final TestObserver<ApplyResult> stale = repository("b")
                .apply(CatalogueSamples.catalogue(20, "9"), Optional.of(new Revision(1)))
                .test();
        clock.advanceTimeBy(10, TimeUnit.SECONDS);
        stale.assertError(error -> error.getMessage()
                .equals("the catalogue is at revision 3: adapter/adapter-0 changed in revision 2,"
                        + " adapter/adapter-19 removed in revision 3"));
    }

    @ParameterizedTest
    @ValueSource(doubles = {0.1, 0.3})
    void lostResponsesNeitherRepeatNorLoseWrites(final double lossRate) {
        final CatalogueRepository repository = repository("a");
        run(repository.apply(CatalogueSamples.catalogue(50, "0"), Optional.empty()));
        service.answerLossRate(lossRate);
        int applied = 1;
        for (int i = 1; i <= 20; i++) {
            final TestObserver<ApplyResult> attempt = repository
                    .apply(CatalogueSamples.catalogue(50, "v" + i), Optional.empty())
                    .test();
            clock.advanceTimeBy(600, TimeUnit.SECONDS);
            if (!attempt.values().isEmpty()) {
                applied++;
                assertEquals(new Revision(applied), attempt.values().get(0).revision());
            } else {
                attempt.assertError(error -> !(error instanceof ApplyConflictException));
                service.answerLossRate(0);
                applied = (int) run(repository.read()).revision().value();
                service.answerLossRate(lossRate);
            }
        }
        service.answerLossRate(0);
        assertEquals(new Revision(applied), run(repository.read()).revision());
    }

    @Test
    void deletesUnreferencedContents() {
        final CatalogueRepository repository = repository("a");
        for (int i = 0; i < 130; i++) {
            run(repository.apply(CatalogueSamples.catalogue(300, "v" + i), Optional.empty()));
        }
        final Snapshot snapshot = run(repository.read());
        final int stored =
                run(store("x").list(CatalogueReader.CONTENT_PREFIX)).entries().size();
        assertEquals(snapshot.chunkCount() + 1, stored);
    }

    @Test
    void stores33000Adapters() {
        final CatalogueRepository repository = repository("a");
        for (final int size : new int[] {1_000, 3_000, 10_000, 33_000}) {
            final long startNanos = System.nanoTime();
            run(repository.apply(CatalogueSamples.catalogue(size, "1"), Optional.empty()));
            final long appliedNanos = System.nanoTime();
            final int swapsBefore = swaps();
            run(repository.apply(CatalogueSamples.catalogue(size, "2"), Optional.empty()));
            final Snapshot snapshot = run(repository.read());
            final long assemblyStartNanos = System.nanoTime();
            Snapshot.assemble(new Revision(9), snapshot.chunks());
            System.out.printf(
                    "catalogue adapters %d assembled on a VM in %d us%n",
                    size, (System.nanoTime() - assemblyStartNanos) / 1000);
            System.out.printf(
                    "catalogue adapters %d bytes %d chunks %d index bytes %d apply %d ms, a change: %d ms, %d swaps%n",
                    size,
                    snapshot.contentBytes(),
                    snapshot.chunkCount(),
                    snapshot.index().size(),
                    (appliedNanos - startNanos) / 1_000_000,
                    (System.nanoTime() - appliedNanos) / 1_000_000,
                    swaps() - swapsBefore);
            assertEquals(size, snapshot.catalogue().adapters().size());
            assertEquals(3, swaps() - swapsBefore);
            assertTrue(
                    snapshot.chunks().stream().allMatch(chunk -> chunk.content().size() < MAX_VALUE_BYTES));
        }
    }

    private int swaps() {
        return service.calls().getOrDefault("swap", 0);
    }

    private FakeKeyValueStore store(final String operator) {
        return new FakeKeyValueStore(service, new VmId(operator), new FakeDecisionLoop(clock));
    }

    private CatalogueRepository repository(final String operator) {
        return new CatalogueRepository(
                store(operator), new FakeDecisionLoop(clock).timer(), () -> operator + "-" + ++writes);
    }

    private <T> T run(final Single<T> call) {
        final TestObserver<T> observer = call.test();
        clock.advanceTimeBy(60, TimeUnit.SECONDS);
        observer.assertNoErrors();
        return observer.values().get(0);
    }
}

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

/** Tests the catalogue in the key-value service with its faults. Confined to one thread. */
final class CatalogueRepositoryTest {
    private static final int MAX_VALUE_BYTES = 1_000_000;

    private final TestScheduler clock = new TestScheduler();
    private final FakeKeyValueService service = new FakeKeyValueService(clock, 5);
    private int writes;

    @Test
    void appliesWhatItReads() {
        final CatalogueRepository repository = repository("a");
        final Catalogue wanted = CatalogueSamples.catalogue(200, "1");
        assertEquals(
                new Revision(1), run(repository.apply(wanted, Optional.empty())).revision());
        final Catalogue read = run(repository("b").read()).catalogue();
        assertEquals(EntryEncoder.encode(wanted), EntryEncoder.encode(read));
        assertEquals(
                new Revision(1), run(repository.apply(wanted, Optional.empty())).revision());
    }

    @Test
    void loserOfRaceLearnsWhatChangedAndInWhichRevision() {
        run(repository("a").apply(CatalogueSamples.catalogue(200, "1"), Optional.empty()));
        final Single<ApplyResult> first =
                repository("a").apply(CatalogueSamples.catalogue(200, "2"), Optional.of(new Revision(1)));
        final Single<ApplyResult> second =
                repository("b").apply(CatalogueSamples.catalogue(150, "1"), Optional.of(new Revision(1)));
        final TestObserver<ApplyResult> one = first.test();
        final TestObserver<ApplyResult> two = second.test();
        clock.advanceTimeBy(30, TimeUnit.SECONDS);
        final TestObserver<ApplyResult> winner = one.values().isEmpty() ? two : one;
        final TestObserver<ApplyResult> loser = winner == one ? two : one;
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
    void staleBaseIsRefusedWithTheChangesSince() {
        final CatalogueRepository repository = repository("a");
        run(repository.apply(CatalogueSamples.catalogue(20, "1"), Optional.empty()));
        run(repository.apply(CatalogueSamples.catalogue(20, "2"), Optional.empty()));
        run(repository.apply(CatalogueSamples.catalogue(19, "2"), Optional.empty()));
        final TestObserver<ApplyResult> late = repository("b")
                .apply(CatalogueSamples.catalogue(20, "9"), Optional.of(new Revision(1)))
                .test();
        clock.advanceTimeBy(10, TimeUnit.SECONDS);
        late.assertError(error -> error.getMessage()
                .equals("the catalogue is at revision 3: adapter/adapter-0 changed in revision 2,"
                        + " adapter/adapter-19 removed in revision 3"));
    }

    @ParameterizedTest
    @ValueSource(doubles = {0.1, 0.3})
    void lostAnswersNeitherRepeatNorLoseAWrite(final double lost) {
        final CatalogueRepository repository = repository("a");
        run(repository.apply(CatalogueSamples.catalogue(50, "0"), Optional.empty()));
        service.answerLossRate(lost);
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
                service.answerLossRate(lost);
            }
        }
        service.answerLossRate(0);
        assertEquals(new Revision(applied), run(repository.read()).revision());
    }

    @Test
    void oldContentsAreRemoved() {
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
    void thirtyThreeThousandAdaptersFit() {
        final CatalogueRepository repository = repository("a");
        for (final int size : new int[] {1_000, 3_000, 10_000, 33_000}) {
            final long start = System.nanoTime();
            run(repository.apply(CatalogueSamples.catalogue(size, "1"), Optional.empty()));
            final long applied = System.nanoTime();
            final int calls = swaps();
            run(repository.apply(CatalogueSamples.catalogue(size, "2"), Optional.empty()));
            final Snapshot snapshot = run(repository.read());
            final long reassembly = System.nanoTime();
            Snapshot.assemble(new Revision(9), snapshot.chunks());
            System.out.printf(
                    "catalogue adapters %d put together on a VM in %d us%n",
                    size, (System.nanoTime() - reassembly) / 1000);
            System.out.printf(
                    "catalogue adapters %d bytes %d chunks %d index bytes %d apply %d ms, a change: %d ms, %d swaps%n",
                    size,
                    snapshot.contentBytes(),
                    snapshot.chunkCount(),
                    snapshot.index().size(),
                    (applied - start) / 1_000_000,
                    (System.nanoTime() - applied) / 1_000_000,
                    swaps() - calls);
            assertEquals(size, snapshot.catalogue().adapters().size());
            assertEquals(3, swaps() - calls);
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

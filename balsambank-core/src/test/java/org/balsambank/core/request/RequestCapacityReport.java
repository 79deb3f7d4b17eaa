package org.balsambank.core.request;

import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.Disposable;
import org.balsambank.protocol.generated.relay.RelayEvent;
import org.junit.jupiter.api.Test;

/**
 * Prints the CPU time and memory per request on a VM that is both entry VM and target owner. Not part of the test
 * suite.
 *
 * <p>Confined to one thread.
 */
final class RequestCapacityReport {
    private static final int WARM_UP = 20_000;
    private static final int REQUESTS = 5_000;
    private static final int[] TOKENS = {1, 100, 200, 400};
    private static final int[] RUNNING = {1_000, 10_000, 20_000, 40_000};

    @Test
    void printCost() {
        cpuMicrosPerRequest(WARM_UP, 20);
        for (final int tokens : TOKENS) {
            final double micros = cpuMicrosPerRequest(REQUESTS, tokens);
            System.out.printf("processor tokens=%d requests=%d us_per_request=%.1f%n", tokens, REQUESTS, micros);
        }
        for (final int running : RUNNING) {
            System.out.printf("memory running=%d bytes_per_request=%d%n", running, bytesPerRequest(running));
        }
    }

    private static double cpuMicrosPerRequest(final int requests, final int tokens) {
        final EntryFixture fixture = new EntryFixture();
        final String model = EntryFixture.ADAPTER.toString();
        final String[] parts = new String[tokens + 1];
        for (int i = 0; i < tokens; i++) {
            parts[i] = "data: {\"id\":\"cmpl-1\",\"object\":\"text_completion\",\"created\":1,\"model\":\"" + model
                    + "\",\"choices\":[{\"index\":0,\"text\":\" word\",\"finish_reason\":null}]}\n\n";
        }
        parts[tokens] = "data: [DONE]\n\n";
        final Flowable<RelayEvent> cachedResponse =
                ScriptedTargets.response(200, parts).cache();
        cachedResponse.subscribe();
        fixture.targets.script(EntryFixture.FIRST, request -> cachedResponse);
        final RequestPipeline pipeline = fixture.pipeline();
        final CallerRequest request = fixture.completion("r1", true);
        final long start = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
        for (int i = 0; i < requests; i++) {
            pipeline.handle(request).subscribe();
            fixture.targets.sent().clear();
            fixture.released.clear();
            fixture.settled.clear();
        }
        return (ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - start) / 1e3 / requests;
    }

    private static long bytesPerRequest(final int running) {
        final EntryFixture fixture = new EntryFixture();
        fixture.gate = request -> Single.never();
        final RequestPipeline pipeline = fixture.pipeline();
        final long before = usedMemory();
        final List<Disposable> open = new ArrayList<>(running);
        for (int i = 0; i < running; i++) {
            open.add(pipeline.handle(fixture.completion("r" + i, true)).subscribe());
        }
        final long after = usedMemory();
        open.forEach(Disposable::dispose);
        return (after - before) / running;
    }

    private static long usedMemory() {
        System.gc();
        System.gc();
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}

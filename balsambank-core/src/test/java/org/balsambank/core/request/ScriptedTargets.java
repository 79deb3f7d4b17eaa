package org.balsambank.core.request;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

import com.google.protobuf.ByteString;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import org.balsambank.core.catalogue.Target;
import org.balsambank.core.id.AdapterRef;
import org.balsambank.core.id.Epoch;
import org.balsambank.core.id.TargetId;
import org.balsambank.core.port.TargetClient;
import org.balsambank.core.port.TargetReport;
import org.balsambank.protocol.generated.relay.RelayEvent;
import org.balsambank.protocol.generated.relay.RelayHead;
import org.balsambank.protocol.generated.relay.RelayRequest;

/** Targets that respond as scripted by a test and count the requests they ran. Confined to one thread. */
final class ScriptedTargets implements TargetClient {
    /** The scripted response to a request. */
    @FunctionalInterface
    interface Script {
        Flowable<RelayEvent> respond(RelayRequest request);
    }

    private final Map<TargetId, Script> scripts = new HashMap<>();
    private final Map<String, Integer> runs = new HashMap<>();
    private final List<RelayRequest> sent = new ArrayList<>();

    void script(final TargetId target, final Script script) {
        scripts.put(target, Objects.requireNonNull(script));
    }

    List<RelayRequest> sent() {
        return sent;
    }

    int runs(final String requestId) {
        return runs.getOrDefault(requestId, 0);
    }

    void recordRun(final String requestId) {
        runs.merge(requestId, 1, Integer::sum);
    }

    @Override
    public Flowable<RelayEvent> send(final Target target, final Epoch epoch, final RelayRequest request) {
        return Flowable.defer(() -> {
            sent.add(request);
            return scripts.getOrDefault(target.id(), this::completeResponse).respond(request);
        });
    }

    @Override
    public Single<TargetReport> report(final Target target) {
        return Single.never();
    }

    @Override
    public Completable load(final Target target, final Epoch epoch, final AdapterRef adapter) {
        return Completable.complete();
    }

    @Override
    public Completable evict(final Target target, final Epoch epoch, final AdapterRef adapter) {
        return Completable.complete();
    }

    /** Runs the request and returns a complete response. */
    Flowable<RelayEvent> completeResponse(final RelayRequest request) {
        recordRun(request.getRequestId());
        final String model = request.getAdapter() + "@" + request.getAdapterVersion();
        return request.getStreaming()
                ? response(200, event(model, "a"), event(model, "b"), "data: [DONE]\n\n")
                : response(200, "{\"model\":\"" + model + "\",\"usage\":{\"total_tokens\":7}}");
    }

    static String event(final String model, final String text) {
        return "data: {\"model\":\"" + model + "\",\"choices\":[{\"text\":\"" + text + "\"}]}\n\n";
    }

    static RelayEvent head(final int status) {
        return RelayEvent.newBuilder()
                .setHead(RelayHead.newBuilder().setStatus(status))
                .build();
    }

    static RelayEvent chunk(final String text) {
        return ResponseFilters.chunk(ByteString.copyFromUtf8(text));
    }

    static Flowable<RelayEvent> response(final int status, final String... parts) {
        final List<RelayEvent> events = new ArrayList<>(List.of(head(status)));
        long bytes = 0;
        for (final String part : parts) {
            events.add(chunk(part));
            bytes += part.length();
        }
        events.add(ResponseFilters.end(bytes));
        return Flowable.fromIterable(events);
    }
}

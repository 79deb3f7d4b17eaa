package org.balsambank.coordination;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import com.google.protobuf.ByteString;
import io.reactivex.rxjava3.core.Single;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import org.balsambank.coordination.StutteringServer.Place;
import org.balsambank.core.id.LeaseId;
import org.balsambank.core.port.KeyValueException;
import org.balsambank.core.port.KeyValueStore;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.junit.jupiter.api.Assertions.assertEquals;

/**
 * Tests that no part of a late copy of a response reaches the next call to a service of the platform. Uses real
 * sockets.
 *
 * <p>Of the response to the first call the service sends a second copy, cut at every byte.
 */
final class StutteringServiceTest {
    private static final Duration PATIENCE = Duration.ofMinutes(2);
    private static final long MAX_WAIT_MILLIS = 20_000;
    private static final LeaseId LEASE = new LeaseId("l");

    private final Vertx vertx = Vertx.vertx();
    private final Context context = vertx.getOrCreateContext();

    @AfterEach
    void close() throws Exception {
        vertx.close().await(MAX_WAIT_MILLIS, TimeUnit.MILLISECONDS);
    }

    // Guards against a value of another key, or one where there is none.
    @ParameterizedTest
    @EnumSource
    void readGetsTheValueOfItsOwnKey(final Place place) throws Exception {
        final Function<StutteringServer, Single<String>> read =
                server -> store(server).read("k").map(found -> found.isPresent() ? "found" : "absent");
        assertSecondIsOwn(
                place,
                read,
                response("200 OK", "{\"key\":\"k\",\"value\":\"AA==\",\"revision\":3}"),
                "found",
                response("404 Not Found", ""),
                "absent");
    }

    // Guards against two VMs that hold the same key: a write that is taken for done though the key had changed.
    @ParameterizedTest
    @EnumSource
    void writeIsNotDoneByTheCopyOfAnother(final Place place) throws Exception {
        final Function<StutteringServer, Single<String>> write = server -> store(server)
                .compareAndSwap("k", 1, ByteString.EMPTY, Optional.empty())
                .map(String::valueOf);
        assertSecondIsOwn(
                place,
                write,
                response("200 OK", "{\"revision\":4}"),
                "4",
                response("409 Conflict", "{\"revision\":5}"),
                "CONFLICT");
    }

    // Guards against a VM that acts on a lease that has ended.
    @ParameterizedTest
    @EnumSource
    void leaseIsNotRenewedByTheCopyOfAnEarlierRenewal(final Place place) throws Exception {
        final Function<StutteringServer, Single<String>> renew =
                server -> store(server).renewLease(LEASE).toSingleDefault("renewed");
        assertSecondIsOwn(place, renew, response("200 OK", ""), "renewed", response("410 Gone", ""), "LEASE_ENDED");
    }

    // Guards against VMs that are taken for live after they have left.
    @ParameterizedTest
    @EnumSource
    void vmListIsTheOneOfItsOwnCall(final Place place) throws Exception {
        final Function<StutteringServer, Single<String>> list =
                server -> new HttpVmList(context, base(server), PATIENCE).list().map(vms -> vms.size() + " VMs");
        assertSecondIsOwn(
                place,
                list,
                response("200 OK", "{\"vms\":[{\"id\":\"v\",\"failureDomain\":\"d\",\"host\":\"h\",\"peerPort\":7}]}"),
                "1 VMs",
                response("200 OK", "{\"vms\":[]}"),
                "0 VMs");
    }

    // Guards against a lease that is taken for renewed by a head that the service broke off and began anew.
    @Test
    void headThatWasBrokenOffIsNotReadWithTheNextOne() {
        final String renewed = response("200 OK", "");
        final List<String> faults = new ArrayList<>();
        for (int length = 1; length <= renewed.indexOf("\r\n\r\n"); length++) {
            final StutteringServer server = new StutteringServer(vertx, Place.BEHIND, response -> "");
            server.addResponse(renewed.substring(0, length) + response("410 Gone", ""));
            final String result = result(store(server).renewLease(LEASE).toSingleDefault("renewed"));
            if (!result.equals("UNKNOWN")) {
                faults.add(length + ": " + result);
            }
        }
        assertEquals(List.of(), faults);
    }

    private void assertSecondIsOwn(
            final Place place,
            final Function<StutteringServer, Single<String>> call,
            final String firstResponse,
            final String firstResult,
            final String secondResponse,
            final String secondResult)
            throws Exception {
        final List<String> faults = new ArrayList<>();
        for (int length = 1; length <= firstResponse.length(); length++) {
            final String part = firstResponse.substring(0, length);
            final StutteringServer server =
                    new StutteringServer(vertx, place, response -> response.equals(firstResponse) ? part : "");
            server.addResponse(firstResponse);
            assertEquals(firstResult, result(call.apply(server)));
            server.copySent().get(MAX_WAIT_MILLIS, TimeUnit.MILLISECONDS);
            server.addResponse(secondResponse);
            final String result = result(call.apply(server));
            if (!result.equals(secondResult) || server.connections() != 2) {
                faults.add(length + ": " + result + " on connection " + server.connections());
            }
        }
        assertEquals(List.of(), faults);
    }

    private KeyValueStore store(final StutteringServer server) {
        return new HttpKeyValueStore(context, base(server), new KeyValueTimeouts(PATIENCE, PATIENCE));
    }

    private static String base(final StutteringServer server) {
        return "http://127.0.0.1:" + server.port();
    }

    private static String result(final Single<String> call) {
        return call.timeout(MAX_WAIT_MILLIS, TimeUnit.MILLISECONDS)
                .onErrorReturn(StutteringServiceTest::reason)
                .blockingGet();
    }

    private static String reason(final Throwable error) {
        return error instanceof KeyValueException failed ? failed.reason().toString() : "no end: " + error;
    }

    private static String response(final String status, final String body) {
        return "HTTP/1.1 " + status + "\r\nServer: store\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }
}

package org.balsambank.core.fake;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import org.balsambank.core.id.VmId;
import org.balsambank.core.port.KeyValueException;
import org.balsambank.core.port.KeyValueException.Reason;
import org.balsambank.core.port.VmEntry;
import org.balsambank.core.port.VmList;

/** A fake VM list that shows changes after a lag. Confined to one thread. */
public final class FakeVmList implements VmList {
    private final TestScheduler clock;
    private final TreeMap<Long, Map<VmId, VmEntry>> states = new TreeMap<>();
    private Duration lag = Duration.ZERO;
    private boolean outage;

    public FakeVmList(final TestScheduler clock) {
        this.clock = clock;
        states.put(Long.MIN_VALUE, new TreeMap<>());
    }

    public void put(final VmEntry entry) {
        newState().put(entry.id(), entry);
    }

    public void remove(final VmId vm) {
        newState().remove(vm);
    }

    /** Marks a VM as leaving. */
    public void markLeaving(final VmId vm) {
        final Map<VmId, VmEntry> state = newState();
        final VmEntry old = state.get(vm);
        state.put(vm, new VmEntry(vm, old.failureDomain(), old.host(), old.peerPort(), true));
    }

    public void lag(final Duration duration) {
        lag = duration;
    }

    public void setOutage(final boolean value) {
        outage = value;
    }

    @Override
    public Single<List<VmEntry>> list() {
        return Single.fromCallable(() -> {
            if (outage) {
                throw new KeyValueException(Reason.UNAVAILABLE, "the VM list is unavailable");
            }
            final long shown = clock.now(TimeUnit.NANOSECONDS) - lag.toNanos();
            return List.copyOf(
                    new ArrayList<>(states.floorEntry(shown).getValue().values()));
        });
    }

    /** Returns the VM list of one VM, with results delivered on its loop. */
    public VmList on(final Scheduler loop) {
        return () -> list().observeOn(loop);
    }

    private Map<VmId, VmEntry> newState() {
        final Map<VmId, VmEntry> state = new TreeMap<>(states.lastEntry().getValue());
        states.put(clock.now(TimeUnit.NANOSECONDS), state);
        return state;
    }
}

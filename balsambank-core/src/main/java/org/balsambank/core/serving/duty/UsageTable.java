package org.balsambank.core.serving.duty;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;

import org.balsambank.core.id.TeamId;
import org.balsambank.core.id.VmId;
import org.balsambank.protocol.generated.serving.TeamCount;
import org.balsambank.protocol.generated.serving.UsageRow;

/**
 * The begun requests of VMs by window and team.
 *
 * <p>One row for each start of a VM and window. Invariant: the counts of a row only rise, so a row that arrives twice
 * or over several edges of the tree counts once. Bounded in rows and teams. Confined to the decision loop.
 */
public final class UsageTable {
    private static final int MAX_ROWS = 8_192;
    private static final int MAX_TEAMS = 1_024;

    private final Map<RowKey, Row> rows = new HashMap<>();
    private final NavigableMap<Long, Row> bySequence = new TreeMap<>();
    private long sequence;
    private long firstWindow;
    private long lastWindow = Long.MAX_VALUE;

    /** Creates an empty table. */
    public UsageTable() {}

    /**
     * Raises counts of a row.
     *
     * @param vm the VM that counted
     * @param boot its start
     * @param window the window
     * @param counts the counts by team
     * @param source the VM that sent the row, empty for this VM's own counts
     */
    public void raise(
            final VmId vm,
            final long boot,
            final long window,
            final Map<TeamId, Long> counts,
            final Optional<VmId> source) {
        final RowKey key = new RowKey(vm, boot, window);
        final Row known = rows.get(key);
        if (window < firstWindow || window > lastWindow || known == null && rows.size() >= MAX_ROWS) {
            return;
        }
        final Row row = known == null ? new Row(key) : known;
        if (row.raise(counts)) {
            rows.put(key, row);
            bySequence.remove(row.sequence);
            row.sequence = ++sequence;
            row.source = source;
            bySequence.put(row.sequence, row);
        }
    }

    /**
     * Raises the counts of a row that another VM sent.
     *
     * @param row the row
     * @param source the VM that sent it
     */
    public void raise(final UsageRow row, final VmId source) {
        final Map<TeamId, Long> counts = new HashMap<>();
        row.getTeamsList().forEach(each -> counts.put(new TeamId(each.getTeam()), each.getRequests()));
        raise(new VmId(row.getVm()), row.getBoot(), row.getWindow(), counts, Optional.of(source));
    }

    /**
     * Returns the sequence number of the latest change.
     *
     * @return a number that rises with each change
     */
    public long sequence() {
        return sequence;
    }

    /**
     * Returns rows that have changed, for another VM.
     *
     * @param after the sequence number up to which it was sent all
     * @param limit the greatest number of rows
     * @param receiver the other VM; rows that it sent are left out
     * @param allUpTo the sequence number up to which rows that it sent are not left out, as it may have restarted
     * @return the rows and the sequence number up to which they are complete
     */
    public Changes changesAfter(final long after, final int limit, final VmId receiver, final long allUpTo) {
        final List<UsageRow> changed = new ArrayList<>();
        long upTo = after;
        for (final Row row : bySequence.tailMap(after, false).values()) {
            if (changed.size() == limit) {
                break;
            }
            upTo = row.sequence;
            if (row.sequence <= allUpTo || !row.source.equals(Optional.of(receiver))) {
                changed.add(row.encode());
            }
        }
        return new Changes(changed, upTo);
    }

    /**
     * Returns the sums over all VMs.
     *
     * @param window the window
     * @return the requests by team
     */
    public Map<TeamId, Long> sums(final long window) {
        final Map<TeamId, Long> sums = new HashMap<>();
        rows.values().stream()
                .filter(row -> row.key.window == window)
                .forEach(row -> row.counts.forEach((team, count) -> sums.merge(team, count, Long::sum)));
        return sums;
    }

    /**
     * Returns the number of VMs that have a row of a window.
     *
     * @param window the window
     * @return the number of starts of VMs
     */
    public long vms(final long window) {
        return rows.keySet().stream().filter(key -> key.window == window).count();
    }

    /**
     * Drops the rows of other windows, and ignores such rows from now on.
     *
     * @param first the first window that is kept
     * @param last the last window that is kept
     */
    public void keep(final long first, final long last) {
        firstWindow = first;
        lastWindow = last;
        rows.values().removeIf(row -> row.key.window < first || row.key.window > last);
        bySequence.values().removeIf(row -> row.key.window < first || row.key.window > last);
    }

    /**
     * Rows that have changed.
     *
     * @param rows the rows
     * @param upTo the sequence number up to which they are complete
     */
    public record Changes(List<UsageRow> rows, long upTo) {}

    /** The start of a VM and a window. */
    private record RowKey(VmId vm, long boot, long window) {}

    /** The counts of one start of a VM in one window. */
    private static final class Row {
        private final RowKey key;
        private final Map<TeamId, Long> counts = new HashMap<>();
        private long sequence;
        private Optional<VmId> source = Optional.empty();

        Row(final RowKey key) {
            this.key = Objects.requireNonNull(key);
        }

        boolean raise(final Map<TeamId, Long> others) {
            boolean raised = false;
            for (final Map.Entry<TeamId, Long> each : others.entrySet()) {
                final long known = counts.getOrDefault(each.getKey(), 0L);
                final boolean room = counts.containsKey(each.getKey()) || counts.size() < MAX_TEAMS;
                if (each.getValue() > known && room) {
                    counts.put(each.getKey(), each.getValue());
                    raised = true;
                }
            }
            return raised;
        }

        UsageRow encode() {
            final UsageRow.Builder row = UsageRow.newBuilder()
                    .setVm(key.vm.value())
                    .setBoot(key.boot)
                    .setWindow(key.window);
            counts.forEach((team, count) ->
                    row.addTeams(TeamCount.newBuilder().setTeam(team.value()).setRequests(count)));
            return row.build();
        }
    }
}

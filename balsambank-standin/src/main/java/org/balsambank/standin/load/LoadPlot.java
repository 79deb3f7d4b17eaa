package org.balsambank.standin.load;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.BitmapEncoder.BitmapFormat;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.markers.SeriesMarkers;

/**
 * Plots a run over time: requests served, rejected and failed per second, and the actions.
 *
 * <p>Stateless and thread-safe.
 */
public final class LoadPlot {
    private static final int WIDTH = 1200;
    private static final int HEIGHT = 600;
    private static final double NANOS_PER_SECOND = 1e9;

    private LoadPlot() {}

    /**
     * Plots a run to a PNG file.
     *
     * @param result the result of the run
     * @param file the file
     * @throws IOException if writing the file fails
     */
    public static void draw(final LoadResult result, final Path file) throws IOException {
        final int seconds = (int)
                Math.ceil(result.settings().warmUpSeconds() + result.settings().seconds());
        final double[] served = new double[seconds];
        final double[] rejected = new double[seconds];
        final double[] failed = new double[seconds];
        for (final CallRecord record : result.records()) {
            final int second = (int) (record.call().offsetNanos() / NANOS_PER_SECOND);
            if (record.served()) {
                served[second]++;
            } else if (record.rejectedByRateLimit()) {
                rejected[second]++;
            } else {
                failed[second]++;
            }
        }
        final XYChart chart = new XYChartBuilder()
                .width(WIDTH)
                .height(HEIGHT)
                .title(result.settings().profile().name() + ", seed "
                        + result.settings().seed())
                .xAxisTitle("seconds")
                .yAxisTitle("requests per second")
                .build();
        addSeries(chart, "served", served);
        addSeries(chart, "rejected by rate limit", rejected);
        addSeries(chart, "other errors", failed);
        final double top = Arrays.stream(served).max().orElse(1);
        result.actions().forEach(completed -> addMarker(chart, completed, top));
        BitmapEncoder.saveBitmap(chart, file.toString(), BitmapFormat.PNG);
    }

    private static void addSeries(final XYChart chart, final String name, final double[] values) {
        final double[] time = new double[values.length];
        Arrays.setAll(time, i -> i);
        chart.addSeries(name, time, values).setMarker(SeriesMarkers.NONE);
    }

    private static void addMarker(final XYChart chart, final CompletedAction completed, final double top) {
        final double at = RunClock.seconds(completed.startNanos());
        final List<Double> x = new ArrayList<>(List.of(at, at));
        final List<Double> y = new ArrayList<>(List.of(0.0, top));
        final String name = String.format(
                java.util.Locale.ROOT, "%.0f s %s", at, completed.action().label());
        if (!chart.getSeriesMap().containsKey(name)) {
            chart.addSeries(name, x, y).setMarker(SeriesMarkers.NONE);
        }
    }
}

package org.balsambank.standin.experiment.placement;

import java.util.Arrays;
import java.util.random.RandomGenerator;

/**
 * Samples a Zipf distribution: the probability of k, from 0, is proportional to 1 / (k + 1) to the power of the skew.
 *
 * <p>Immutable; as thread-safe as its source of randomness.
 */
public final class ZipfSampler {
    private final double[] cumulative;
    private final RandomGenerator random;

    /**
     * Creates a sampler with a skew of 1.
     *
     * @param count the number of values
     * @param random the source of randomness
     */
    ZipfSampler(final int count, final RandomGenerator random) {
        this(count, 1, random);
    }

    /**
     * Creates a sampler with a skew.
     *
     * @param count the number of values
     * @param skew the exponent
     * @param random the source of randomness
     */
    public ZipfSampler(final int count, final double skew, final RandomGenerator random) {
        this.random = random;
        cumulative = new double[count];
        double sum = 0;
        for (int i = 0; i < count; i++) {
            sum += 1 / Math.pow(i + 1, skew);
            cumulative[i] = sum;
        }
    }

    /**
     * Draws a value.
     *
     * @return a value from 0 to count - 1
     */
    public int next() {
        final double point = random.nextDouble() * cumulative[cumulative.length - 1];
        final int found = Arrays.binarySearch(cumulative, point);
        return found >= 0 ? found : -found - 1;
    }
}

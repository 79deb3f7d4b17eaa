package org.balsambank.core.serving.placement;

import java.util.Objects;

import org.balsambank.core.id.AdapterId;
import org.balsambank.core.id.BaseModel;

/**
 * Identifies an adapter of a base model.
 *
 * <p>Immutable and thread-safe.
 *
 * @param model the base model
 * @param adapter the adapter
 */
public record AdapterKey(BaseModel model, AdapterId adapter) {
    /** Checks that neither is null. */
    public AdapterKey {
        Objects.requireNonNull(model);
        Objects.requireNonNull(adapter);
    }

    /**
     * Parses the format of {@link #toString()}.
     *
     * @param text the model, a slash and the adapter
     * @return the key
     * @throws IllegalArgumentException if there is no slash or a part is invalid
     */
    public static AdapterKey parse(final String text) {
        final int slash = text.indexOf('/');
        if (slash < 0) {
            throw new IllegalArgumentException("adapter key without a slash: " + text);
        }
        return new AdapterKey(new BaseModel(text.substring(0, slash)), new AdapterId(text.substring(slash + 1)));
    }

    @Override
    public String toString() {
        return model.value() + "/" + adapter.value();
    }
}

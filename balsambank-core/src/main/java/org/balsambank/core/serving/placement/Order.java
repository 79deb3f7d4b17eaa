package org.balsambank.core.serving.placement;

import java.util.Optional;
import java.util.OptionalLong;

import org.balsambank.core.id.BaseModel;
import org.balsambank.core.id.VmId;

/**
 * An order to a target.
 *
 * <p>Immutable and thread-safe.
 *
 * @param load true to load, false to unload
 * @param model the base model
 * @param adapter the adapter, empty if the order is about the model itself
 * @param version the version of the adapter, 0 for the newest
 * @param holder the VM that gives the order
 * @param fence its fencing number at the target
 * @param expectedSequence the number of orders that the target is to have accepted, if that matters
 */
public record Order(
        boolean load,
        BaseModel model,
        Optional<AdapterKey> adapter,
        long version,
        VmId holder,
        long fence,
        OptionalLong expectedSequence) {}

package org.balsambank.core.serving.placement;

import java.util.Optional;
import java.util.OptionalLong;

import org.balsambank.core.id.BaseModel;
import org.balsambank.core.id.VmId;

/**
 * An order to a target to load or unload an adapter or base model.
 *
 * <p>Immutable and thread-safe.
 *
 * @param load true to load, false to unload
 * @param model the base model
 * @param adapter the adapter, empty if the order concerns the base model itself
 * @param version the version of the adapter, 0 for the latest
 * @param holder the VM that sends the order
 * @param fence the fencing number of its claim on the target
 * @param expectedSequence the number of accepted orders at which the target must be to accept this one, if it is
 *     checked
 */
public record Order(
        boolean load,
        BaseModel model,
        Optional<AdapterKey> adapter,
        long version,
        VmId holder,
        long fence,
        OptionalLong expectedSequence) {}

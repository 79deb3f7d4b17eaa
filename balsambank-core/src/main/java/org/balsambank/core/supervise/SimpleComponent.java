package org.balsambank.core.supervise;

import io.reactivex.rxjava3.core.Completable;

/**
 * A part made of a name and what it runs.
 *
 * <p>Immutable; as thread-safe as what it runs.
 *
 * @param name the name used in logs and metrics
 * @param run what the part runs
 */
public record SimpleComponent(String name, Completable run) implements Component {}

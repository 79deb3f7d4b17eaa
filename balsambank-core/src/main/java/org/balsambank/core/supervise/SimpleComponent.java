package org.balsambank.core.supervise;

import io.reactivex.rxjava3.core.Completable;

/**
 * A component that consists of a name and a {@code Completable}.
 *
 * <p>Immutable; as thread-safe as the {@code Completable}.
 *
 * @param name the name used in logs and metrics
 * @param run runs the component
 */
public record SimpleComponent(String name, Completable run) implements Component {}

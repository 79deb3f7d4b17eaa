package org.balsambank.daemon;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.disposables.Disposable;
import org.balsambank.core.supervise.Component;
import org.balsambank.core.supervise.SimpleComponent;

/**
 * Creates supervised components from objects that are started and disposed.
 *
 * <p>Stateless and thread-safe.
 */
final class DisposableComponent {
    private DisposableComponent() {}

    /**
     * Creates a component.
     *
     * @param name the name used in logs and metrics
     * @param start starts the object
     * @param disposable stops the object
     * @return the component, which runs until it is disposed
     */
    static Component of(final String name, final Runnable start, final Disposable disposable) {
        return new SimpleComponent(
                name,
                Completable.using(
                        () -> {
                            start.run();
                            return disposable;
                        },
                        started -> Completable.never(),
                        Disposable::dispose));
    }
}

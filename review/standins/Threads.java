package review;

import java.io.IOException;

/** Starts daemon threads whose failures end only themselves. */
final class Threads {
    private Threads() {}

    /** A task that may fail. */
    interface Task {
        void run() throws Exception;
    }

    static Thread start(final String name, final Task task) {
        final Thread thread = new Thread(() -> run(name, task), name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private static void run(final String name, final Task task) {
        try {
            task.run();
        } catch (final IOException | InterruptedException e) {
            // A closed connection or the end of the case.
        } catch (final Exception e) {
            System.err.println(name + ": " + e);
            e.printStackTrace();
        }
    }
}

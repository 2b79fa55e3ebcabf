import java.net.ServerSocket;
import java.net.Socket;

/** Threads that end with the process or with their connection. */
final class Tasks {
    private Tasks() {}

    interface Task {
        void run() throws Exception;
    }

    interface Handler {
        void handle(Socket connection) throws Exception;
    }

    static Thread start(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception e) {
                // The connection or the case has ended.
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Handles each connection on a thread of its own until the listener is closed. */
    static void serve(ServerSocket listener, Handler handler) {
        start(() -> {
            while (true) {
                Socket connection = listener.accept();
                connection.setTcpNoDelay(true);
                start(() -> {
                    try (connection) {
                        handler.handle(connection);
                    }
                });
            }
        });
    }
}

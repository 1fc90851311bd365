import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Answers of a model engine: a stream of events with increasing ids, each with the software version of its engine. */
final class EventStream {
    private EventStream() {}

    /** Returns a handler that sends [events], with [pauseMs] between two, after the one that a request names. */
    static Engine.Handler handler(int events, int pauseMs) {
        return (engine, socket, request) -> {
            send(engine, socket, request, events, pauseMs);
            return true;
        };
    }

    private static void send(Engine engine, Socket socket, Http.Message request, int events, int pauseMs) throws IOException {
        String last = request.header("Last-Event-Id");
        int first = last == null ? 1 : Integer.parseInt(last) + 1;
        write(socket, "HTTP/1.1 200 OK\r\n" + engine.headers(request)
            + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int id = first; id <= events; id++) {
            if (id > first) Time.sleep(pauseMs);
            String event = "id: " + id + "\ndata: " + engine.version + " " + id + "\n\n";
            write(socket, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
        }
        write(socket, "0\r\n\r\n");
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }
}

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A stand-in engine: announces itself, refuses what is meant for another engine, and passes the rest to its handler. */
final class Engine implements AutoCloseable {
    /** Answers one request that this engine runs; returns false to close the connection. */
    interface Handler {
        boolean answer(Engine engine, Socket socket, Http.Message request) throws Exception;
    }

    /** Slots of an engine of the plain service, and of a model engine. */
    static final int PLAIN_SLOTS = 6;
    static final int MODEL_SLOTS = 64;
    private static final int HEARTBEAT_MS = 1_200;
    private static final int ACK_MS = 1_000;

    final String id;
    final String version;
    final InetSocketAddress address;
    private final String service;
    private final String zone;
    private final int slots;
    private final List<InetSocketAddress> controls;
    private final Record record;
    private final Handler handler;
    private final ServerSocket listener = new ServerSocket();
    private final AtomicInteger running = new AtomicInteger();
    private final long bornMs = System.currentTimeMillis();
    private volatile boolean isClosed;

    Engine(
        String id, String version, String service, String zone, int slots, InetSocketAddress address,
        List<InetSocketAddress> controls, Record record, Handler handler
    ) throws IOException {
        this.id = id;
        this.version = version;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        this.address = address;
        this.controls = controls;
        this.record = record;
        this.handler = handler;
        listener.bind(address, 512);
        thread(this::accept);
        thread(this::announce);
    }

    private static void thread(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (!isClosed) {
            try {
                Socket socket = listener.accept();
                thread(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            while (true) {
                Http.Message request = Http.read(in);
                if (request == null || !serve(socket, request)) return;
            }
        } catch (Exception e) {
            record.line("engine " + id + ": a connection ended: " + e.getMessage());
        }
    }

    private boolean serve(Socket socket, Http.Message request) throws Exception {
        String expected = request.header("X-Arbutusrelay-Expect-Instance");
        if (request.path().equals("/health")) {
            socket.getOutputStream().write(
                Http.message("HTTP/1.1 200 OK", "X-Arbutusrelay-Instance-Id: " + id + "\r\n", new byte[0]));
            return true;
        }
        if (expected != null && !expected.equals(id)) {
            refuse(socket, request, "421 Misdirected Request");
            return true;
        }
        running.incrementAndGet();
        record.line("engine " + id + " runs " + request.header("X-Arbutusrelay-Attempt-Id"));
        try {
            return handler.answer(this, socket, request);
        } finally {
            running.decrementAndGet();
        }
    }

    private void refuse(Socket socket, Http.Message request, String status) throws IOException {
        String headers = "X-Arbutusrelay-Attempt-Id: " + request.header("X-Arbutusrelay-Attempt-Id")
            + "\r\nX-Arbutusrelay-Not-Executed: 1\r\n";
        socket.getOutputStream().write(Http.message("HTTP/1.1 " + status, headers, new byte[0]));
    }

    /** Headers of each response of this engine to [request]. */
    String headers(Http.Message request) {
        return "X-Arbutusrelay-Attempt-Id: " + request.header("X-Arbutusrelay-Attempt-Id")
            + "\r\nX-Arbutusrelay-Response-Signature: " + id + "." + bornMs
            + "\r\nX-Arbutusrelay-Instance-Load: " + running.get() + ",0," + slots + "\r\nKeep-Alive: timeout=15\r\n";
    }

    /** Writes a whole response with [text]. */
    void answer(Socket socket, Http.Message request, String text) throws IOException {
        socket.getOutputStream().write(
            Http.message("HTTP/1.1 200 OK", headers(request), text.getBytes(StandardCharsets.UTF_8)));
    }

    private void announce() {
        int next = 0;
        for (long sequence = 1; !isClosed; sequence++) {
            String body = "{\"service\":\"" + service + "\",\"address\":\"" + address.getAddress().getHostAddress() + ":"
                + address.getPort() + "\",\"zone\":\"" + zone + "\",\"version\":\"" + version + "\",\"slots\":" + slots + ",\"state\":\"ready\","
                + "\"cold_remaining_ms\":0,\"sequence\":" + sequence + ",\"born\":" + bornMs + "}";
            for (int tries = 0; tries < controls.size(); tries++) {
                InetSocketAddress control = controls.get(next % controls.size());
                Http.Message response = Http.exchange(
                    control, "POST /Instances.Heartbeat/" + id + " HTTP/1.1",
                    "Host: control\r\nContent-Type: application/json\r\nConnection: close\r\n",
                    body.getBytes(StandardCharsets.UTF_8), ACK_MS);
                if (response != null && response.status() / 100 == 2) break;
                next++;
            }
            Time.sleep(HEARTBEAT_MS);
        }
    }

    @Override
    public void close() throws IOException {
        isClosed = true;
        listener.close();
    }
}

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;

/** A sound engine: registers itself with heartbeats, accepts connections and answers one request at a time on each. */
class Engine {
    final String id;
    final String service;
    final String address;
    final int slots;
    private final String zone;
    private final Site site;
    private final Behaviour behaviour;
    private final long bornMs = System.currentTimeMillis();
    final AtomicInteger running = new AtomicInteger();

    /** Decides how the engine answers the requests of one connection. */
    interface Behaviour {
        /** Writes the response; {@code connection} numbers the connections of all engines. */
        void respond(Engine engine, Socket socket, int connection, Http.Message request) throws IOException;
    }

    private static final AtomicInteger CONNECTIONS = new AtomicInteger();

    Engine(Site site, String region, int number, String service, int slots, Behaviour behaviour) {
        this.site = site;
        this.id = "i-" + region + "-" + number;
        this.service = service;
        this.address = site.engineAddress(region, number);
        this.zone = region + "-a";
        this.slots = slots;
        this.behaviour = behaviour;
    }

    void start() throws IOException {
        ServerSocket server = new ServerSocket();
        server.setReuseAddress(true);
        int colon = address.lastIndexOf(':');
        server.bind(new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))), 512);
        daemon(() -> {
            while (true) {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                int connection = CONNECTIONS.incrementAndGet();
                daemon(() -> serve(socket, connection));
            }
        });
        daemon(() -> {
            for (int sequence = 1; ; sequence++) {
                site.post("/Instances.Heartbeat/" + id, heartbeat(sequence));
                Site.sleep(1_200);
            }
        });
    }

    private String heartbeat(int sequence) {
        return "{\"service\":\"" + service + "\",\"address\":\"" + address + "\",\"zone\":\"" + zone
            + "\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":"
            + sequence + ",\"born\":" + bornMs + "}";
    }

    private void serve(Socket socket, int connection) throws IOException {
        try (socket) {
            BufferedInputStream input = new BufferedInputStream(socket.getInputStream());
            while (true) {
                Http.Message request = Http.read(input);
                if (request == null) return;
                String expected = request.header("X-Arbutusrelay-Expect-Instance");
                if (expected != null && !expected.equals(id)) {
                    Http.write(socket, head(421, request) + "X-Arbutusrelay-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                        new byte[0]);
                } else {
                    behaviour.respond(this, socket, connection, request);
                }
            }
        }
    }

    /** Returns the status line and the headers that every response has, without the empty line at the end. */
    String head(int status, Http.Message request) {
        return "HTTP/1.1 " + status + " Status\r\nX-Arbutusrelay-Attempt-Id: "
            + request.header("X-Arbutusrelay-Attempt-Id") + "\r\nX-Arbutusrelay-Instance-Load: "
            + Math.min(running.get(), slots) + "," + Math.max(0, running.get() - slots) + "," + slots
            + "\r\nKeep-Alive: timeout=5\r\n";
    }

    /** Returns a whole response of a run. */
    String success(Http.Message request, String body) {
        return head(200, request) + "X-Arbutusrelay-Response-Signature: s-" + request.header("X-Arbutusrelay-Attempt-Id")
            + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** An action that may end with a closed socket. */
    interface Action {
        void run() throws IOException;
    }

    static void daemon(Action action) {
        Thread thread = new Thread(() -> {
            try {
                action.run();
            } catch (IOException e) {
                // The peer closed the connection, or the run has ended.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }
}

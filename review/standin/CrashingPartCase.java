import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One part of a prompt crashes each engine that begins to write an answer on it. The answers have neither a length nor
 * chunks and end with their connection; a crash cuts the first event off.
 */
final class CrashingPartCase {
    private static final int ENGINES = 4;
    private static final int SLOTS = 16;
    private static final int RETURN_MS = 3_000;
    private static final int CONTACT_MS = 5_000;
    private static final int DURATION_MS = 45_000;
    private static final int POISON_INTERVAL_MS = 700;
    private static final int SOUND_INTERVAL_MS = 100;
    private static final int EVENTS = 5;
    private static final int EVENT_MS = 20;
    private static final int DEADLINE_MS = 4_000;
    private static final int MAX_ARRIVALS = 3;
    private static final int CRASHES = 5;

    private static final String DOCUMENT = "{\"version\":1,\"routes\":[{\"name\":\"draft\",\"hostname\":\"office.example\","
        + "\"path_prefix\":\"/draft/\",\"kind\":\"streaming\",\"timeout_ms\":4000,\"target_latency_ms\":800,\"priority\":1,"
        + "\"service\":\"drafter\",\"max_attempts\":1,\"session_affinity\":true,\"resumable\":false,\"gap_aim_ms\":600,"
        + "\"home_regions\":[]}],\"services\":[{\"name\":\"drafter\",\"health_path\":\"/health\",\"max_connections\":370,"
        + "\"engine\":{\"slots\":16,\"kv_capacity_tokens\":238853}}],\"limits\":{\"max_header_bytes\":16384,"
        + "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

    private final Site site;
    private final Record record;
    private final boolean hasTrouble;
    private final boolean isChunked = "chunked".equals(System.getenv("FRAMING"));
    private final List<Long> crashesMs = new ArrayList<>();
    private final AtomicInteger lateArrivals = new AtomicInteger();
    private final AtomicInteger arrivals = new AtomicInteger();
    private final AtomicInteger sound = new AtomicInteger();
    private final AtomicInteger soundServed = new AtomicInteger();

    private CrashingPartCase(Site site, Record record, boolean hasTrouble) {
        this.site = site;
        this.record = record;
        this.hasTrouble = hasTrouble;
    }

    public static void main(String[] arguments) throws Exception {
        Path root = Path.of(arguments[0]);
        try (Record record = new Record(Path.of(arguments[1])); Site site = new Site(root, 3)) {
            int exitCode = new CrashingPartCase(site, record, !"0".equals(System.getenv("TROUBLE"))).run();
            site.close();
            System.exit(exitCode);
        }
    }

    private int run() throws Exception {
        String host = site.entryHost("north", 1);
        site.startStateHosts();
        site.startEntryHost(host, "north");
        site.post("/Config.Replace", DOCUMENT);
        for (int i = 1; i <= ENGINES; i++) new CrashingEngine(i).start();
        site.awaitReady(host);
        Site.sleep(6_000);
        ExecutorService clients = Executors.newCachedThreadPool();
        long startMs = Site.nowMs();
        for (int i = 0; Site.nowMs() - startMs < DURATION_MS; i++) {
            int number = i;
            clients.execute(() -> send(site.callerAddress(host), "s" + number, "5c1e07a2:6300,a" + number + ":400"));
            if (hasTrouble && i % (POISON_INTERVAL_MS / SOUND_INTERVAL_MS) == 0) {
                clients.execute(
                    () -> send(site.callerAddress(host), "p" + number, "5c1e07a2:6300,dead:200,b" + number + ":400"));
            }
            Site.sleep(SOUND_INTERVAL_MS);
        }
        Site.sleep(DEADLINE_MS + 1_000);
        String result = "sound requests " + sound + ", served " + soundServed + "; crashes " + crashesMs.size()
            + "; requests with the part that reached engines " + arrivals + ", of these over " + CONTACT_MS
            + " ms after the fifth crash " + lateArrivals;
        record.write(result);
        System.out.println(result);
        if (sound.get() < 100 || hasTrouble && crashesMs.size() < CRASHES) return 2;
        return lateArrivals.get() > MAX_ARRIVALS ? 1 : 0;
    }

    private void send(String address, String id, String parts) {
        boolean isSound = id.startsWith("s");
        if (isSound) sound.incrementAndGet();
        String head = "POST /draft/x HTTP/1.1\r\nHost: office.example\r\nX-Arbutusrelay-Attempt-Id: " + id
            + "\r\nX-Arbutusrelay-Model: m\r\nX-Arbutusrelay-Token-Usage: 6900,20\r\nX-Arbutusrelay-Prompt-Prefix: " + parts
            + "\r\nX-Arbutusrelay-Deadline-Ms: " + DEADLINE_MS + "\r\nContent-Length: 2\r\n\r\n";
        try (Socket socket = Http.connect(address, 1_000, DEADLINE_MS + 1_000)) {
            Http.write(socket, head, "hi".getBytes(StandardCharsets.US_ASCII));
            record.write(id + " is sent");
            Http.Message response = Http.read(new BufferedInputStream(socket.getInputStream()));
            if (isSound && response != null && response.status() == 200) soundServed.incrementAndGet();
            record.write(id + " is answered with " + (response == null ? "a closed connection"
                : response.startLine + ", " + response.body.length + " bytes"));
        } catch (IOException e) {
            record.write(id + " is not answered in full: " + e.getMessage());
        }
    }

    /** An engine that crashes when it begins to write an answer on the part; it is back after some seconds. */
    private final class CrashingEngine {
        private final int number;
        private final String address;

        CrashingEngine(int number) {
            this.number = number;
            this.address = site.engineAddress("north", number);
        }

        void start() throws IOException {
            new Incarnation().start();
        }

        private final class Incarnation {
            private final ServerSocket server = new ServerSocket();
            private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
            private final long bornMs = System.currentTimeMillis();
            private final String id = "i-" + number + "-" + bornMs;

            Incarnation() throws IOException {}

            void start() throws IOException {
                server.setReuseAddress(true);
                int colon = address.lastIndexOf(':');
                server.bind(
                    new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))), 512);
                Engine.daemon(() -> {
                    while (true) {
                        Socket socket = server.accept();
                        socket.setTcpNoDelay(true);
                        sockets.add(socket);
                        Engine.daemon(() -> serve(socket));
                    }
                });
                Engine.daemon(() -> {
                    for (int sequence = 1; !server.isClosed(); sequence++) {
                        site.post("/Instances.Heartbeat/" + id, "{\"service\":\"drafter\",\"address\":\"" + address
                            + "\",\"zone\":\"north-a\",\"version\":\"v1\",\"slots\":" + SLOTS
                            + ",\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":" + sequence + ",\"born\":" + bornMs
                            + "}");
                        Site.sleep(1_200);
                    }
                });
            }

            private void serve(Socket socket) throws IOException {
                try (socket) {
                    BufferedInputStream input = new BufferedInputStream(socket.getInputStream());
                    while (true) {
                        Http.Message request = Http.read(input);
                        if (request == null) return;
                        respond(socket, request);
                        if (!isChunked) return;
                    }
                } finally {
                    sockets.remove(socket);
                }
            }

            private void respond(Socket socket, Http.Message request) throws IOException {
                String attempt = request.header("X-Arbutusrelay-Attempt-Id");
                boolean isFatal = request.header("X-Arbutusrelay-Prompt-Prefix").contains("dead:");
                if (isFatal) recordArrival(attempt, id);
                String expected = request.header("X-Arbutusrelay-Expect-Instance");
                String head = "X-Arbutusrelay-Attempt-Id: " + attempt + "\r\n";
                if (expected != null && !expected.equals(id)) {
                    Http.write(socket, "HTTP/1.1 421 Misdirected\r\n" + head
                        + "X-Arbutusrelay-Not-Executed: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", new byte[0]);
                    return;
                }
                Site.sleep(EVENT_MS);
                Http.write(socket, "HTTP/1.1 200 OK\r\n" + head + "X-Arbutusrelay-Response-Signature: s-" + attempt
                    + "\r\nContent-Type: text/event-stream\r\n"
                    + (isChunked ? "Transfer-Encoding: chunked\r\n\r\n" : "Connection: close\r\n\r\n"), new byte[0]);
                if (isFatal) {
                    writePiece(socket, "id: 1\nda");
                    Site.sleep(EVENT_MS);
                    crash();
                    return;
                }
                for (int event = 1; event <= EVENTS; event++) {
                    writePiece(socket, "id: " + event + "\ndata: x\n\n");
                    Site.sleep(EVENT_MS);
                }
                if (isChunked) Http.write(socket, "0\r\n\r\n", new byte[0]);
            }

            private void writePiece(Socket socket, String text) throws IOException {
                String piece = isChunked ? Integer.toHexString(text.length()) + "\r\n" + text + "\r\n" : text;
                Http.write(socket, piece, new byte[0]);
            }

            private void crash() throws IOException {
                synchronized (crashesMs) {
                    if (server.isClosed()) return;
                    server.close();
                    crashesMs.add(Site.nowMs());
                    record.write(id + " crashes");
                }
                for (Socket socket : sockets) socket.close();
                Site.sleep(RETURN_MS);
                CrashingEngine.this.start();
            }
        }
    }

    private void recordArrival(String attempt, String engine) {
        arrivals.incrementAndGet();
        synchronized (crashesMs) {
            boolean isLate = crashesMs.size() >= CRASHES && Site.nowMs() - crashesMs.get(CRASHES - 1) > CONTACT_MS;
            if (isLate) lateArrivals.incrementAndGet();
            record.write(attempt + " reaches " + engine + (isLate ? " LATE" : ""));
        }
    }
}

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Requests that are not idempotent go from the region north to their home, the region south. The engine there rejects a
 * part of its requests with the status 503, and sends a second copy of a few of its answers late, where the next answer
 * on the connection is expected.
 */
final class LateCopyCase {
    private static final int CLIENTS = 6;
    private static final int SLOTS = 6;
    private static final int WORK_MS = 21;
    private static final int DEADLINE_MS = 5_000;

    /** Parts of the requests that are rejected and of the answers that are copied, as in the site file. */
    private static final double REJECTED_SHARE = 0.4;
    private static final double COPIED_SHARE = 0.03;

    /** Both disruptions last for 5 s and come again after a pause. */
    private static final int TROUBLE_MS = 5_000;
    private static final int PAUSE_MS = 3_000;
    private static final int PERIODS = 9;

    private static final String DOCUMENT = "{\"version\":1,\"routes\":[{\"name\":\"post\",\"hostname\":\"office.example\","
        + "\"path_prefix\":\"/post/\",\"kind\":\"unsafe\",\"timeout_ms\":5000,\"target_latency_ms\":300,\"priority\":2,"
        + "\"service\":\"bulletin\",\"max_attempts\":1,\"home_regions\":[\"south\"]}],\"services\":[{\"name\":\"bulletin\","
        + "\"health_path\":\"/health\",\"max_connections\":110}],\"limits\":{\"max_header_bytes\":16384,"
        + "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

    private final boolean hasTrouble;
    private final Record record;
    private final Random random = new Random(26);
    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    private final Map<String, Integer> statuses = new ConcurrentHashMap<>();
    private final Map<Integer, String> copies = new ConcurrentHashMap<>();
    private final AtomicInteger sentCopies = new AtomicInteger();
    private volatile boolean isTroubled;
    private volatile boolean isOver;

    private LateCopyCase(boolean hasTrouble, Record record) {
        this.hasTrouble = hasTrouble;
        this.record = record;
    }

    public static void main(String[] arguments) throws Exception {
        Path root = Path.of(arguments[0]);
        try (Record record = new Record(Path.of(arguments[1])); Site site = new Site(root, 3)) {
            int exitCode = new LateCopyCase(!"0".equals(System.getenv("TROUBLE")), record).run(site);
            site.close();
            System.exit(exitCode);
        }
    }

    private int run(Site site) throws Exception {
        String north = site.entryHost("north", 1);
        String south = site.entryHost("south", 1);
        site.startStateHosts();
        site.startEntryHost(north, "north");
        site.startEntryHost(south, "south");
        site.post("/Config.Replace", DOCUMENT);
        new Engine(site, "north", 1, "bulletin", SLOTS, this::answer).start();
        new Engine(site, "north", 2, "bulletin", SLOTS, this::answer).start();
        new Engine(site, "south", 1, "bulletin", SLOTS, this::respond).start();
        site.awaitReady(north);
        site.awaitReady(south);
        Site.sleep(6_000);
        ExecutorService pool = Executors.newCachedThreadPool();
        CountDownLatch ended = new CountDownLatch(CLIENTS);
        for (int i = 0; i < CLIENTS; i++) {
            int client = i;
            pool.execute(() -> {
                for (int number = 0; !isOver; number++) send(site.callerAddress(north), "c" + client + "-" + number);
                ended.countDown();
            });
        }
        for (int period = 0; period < PERIODS; period++) {
            Site.sleep(PAUSE_MS);
            isTroubled = hasTrouble;
            Site.sleep(TROUBLE_MS);
            isTroubled = false;
        }
        isOver = true;
        ended.await(DEADLINE_MS * 2, TimeUnit.MILLISECONDS);
        Site.sleep(500);
        long twice = runs.values().stream().filter(it -> it.get() > 1).count();
        long refused = statuses.entrySet().stream()
            .filter(it -> it.getValue() == 503 || it.getValue() == 429).filter(it -> runs.containsKey(it.getKey())).count();
        long served = statuses.values().stream().filter(it -> it == 200).count();
        String result = "requests " + statuses.size() + ", served " + served + ", late copies " + sentCopies
            + "; requests that ran more than once " + twice + "; answered 429 or 503 although they ran " + refused;
        record.write(result);
        System.out.println(result);
        if (served < 100) return 2;
        return twice > 0 || refused > 0 ? 1 : 0;
    }

    private void send(String address, String id) {
        String head = "POST /post/x HTTP/1.1\r\nHost: office.example\r\nX-Arbutusrelay-Attempt-Id: " + id
            + "\r\nX-Arbutusrelay-Deadline-Ms: " + DEADLINE_MS + "\r\nConnection: close\r\nContent-Length: 2\r\n\r\n";
        try (Socket socket = Http.connect(address, 1_000, DEADLINE_MS + 1_000)) {
            record.write(id + " is sent");
            Http.write(socket, head, "hi".getBytes(StandardCharsets.US_ASCII));
            Http.Message response = Http.read(new BufferedInputStream(socket.getInputStream()));
            int status = response == null ? 0 : response.status();
            statuses.put(id, status);
            AtomicInteger count = runs.get(id);
            record.write(id + " is answered with " + status + "; it has run " + (count == null ? 0 : count.get()) + " times");
        } catch (IOException e) {
            statuses.put(id, 0);
            record.write(id + " is not answered: " + e.getMessage());
        }
    }

    private void answer(Engine engine, Socket socket, int connection, Http.Message request) throws IOException {
        Http.write(socket, engine.success(request, "done"), new byte[0]);
    }

    private void respond(Engine engine, Socket socket, int connection, Http.Message request) throws IOException {
        String id = request.header("X-Arbutusrelay-Attempt-Id");
        String copy = copies.remove(connection);
        if (copy != null) {
            sentCopies.incrementAndGet();
            record.write("connection " + connection + ": " + engine.id + " gets " + id + " and sends the copy of its last answer");
            Http.write(socket, copy, new byte[0]);
        }
        String response;
        if (isTroubled && draw() < REJECTED_SHARE) {
            record.write("connection " + connection + ": " + engine.id + " rejects " + id);
            response = engine.head(503, request) + "X-Arbutusrelay-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
        } else {
            int count = runs.computeIfAbsent(id, it -> new AtomicInteger()).incrementAndGet();
            record.write("connection " + connection + ": " + engine.id + " runs " + id + (count > 1 ? " AGAIN" : ""));
            engine.running.incrementAndGet();
            Site.sleep(WORK_MS);
            engine.running.decrementAndGet();
            response = engine.success(request, "done");
        }
        if (isTroubled && draw() < COPIED_SHARE) copies.put(connection, response);
        Http.write(socket, response, new byte[0]);
    }

    private synchronized double draw() {
        return random.nextDouble();
    }
}

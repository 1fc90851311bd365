import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One engine sends log lines without end in the body of one answer, until the caller closes.
 *
 * Sound requests go to the same entry host meanwhile. Counted are those that are unanswered at the `timeout_ms` of
 * their route, and those of them that have no answer half a second later.
 */
final class EndlessBody {
    private static final int TIMEOUT_MS = 2_500;
    private static final int LATE_MS = 500;
    private static final int CLIENT_MS = 5_000;
    private static final int REQUESTS = 60;
    private static final int INTERVAL_MS = 250;

    /** More than a few, so that no single slow answer decides. */
    private static final int MIN_UNANSWERED = 10;
    private static final String LOG_LINE = "INFO:access:HTTP/1.1 200 OK\r\n";

    public static void main(String[] args) throws Exception {
        boolean isTrouble = !"0".equals(System.getenv("TROUBLE"));
        int exit = 2;
        try (Record record = new Record(Path.of(args[0]))) {
            try (Deployment site = new Deployment(record, List.of("hue-a", "danang-a", "quangtri-a"), List.of("hue-a"))) {
                exit = run(record, site, isTrouble);
            } catch (Exception e) {
                record.line("the case could not run: " + e);
            }
            record.line("exit " + exit);
        }
        System.exit(exit);
    }

    private static int run(Record record, Deployment site, boolean isTrouble) throws Exception {
        site.startAll();
        List<InetSocketAddress> controls = site.core.stream().map(site::controlAddress).toList();
        AtomicBoolean isFaulty = new AtomicBoolean();
        Engine.Handler handler = (engine, socket, request) -> {
            if (request.path().endsWith("/history") && isFaulty.compareAndSet(true, false)) {
                return writeWithoutEnd(engine, socket, request, record);
            }
            engine.answer(socket, request, "notice");
            return true;
        };
        Engine first = new Engine("i-first", "v1", "bulletin", "hue-a", Engine.PLAIN_SLOTS, site.engineAddress(1), controls, record,
            handler);
        Engine second = new Engine("i-second", "v1", "bulletin", "hue-a", Engine.PLAIN_SLOTS, site.engineAddress(2), controls, record,
            handler);
        try (first; second) {
            Operator operator = new Operator(controls, record);
            if (!operator.order("POST", "/Config.Replace", Operator.document(1, "safe", TIMEOUT_MS, 2, ""), 20_000)) return 2;
            InetSocketAddress front = site.frontAddress(site.fronts.get(0));
            boolean isServing = Time.await(15_000, () -> {
                Http.Message response = get(front, "warm", "/a/read");
                return response != null && response.status() == 200;
            });
            if (!isServing) return 2;
            // The hosts have been in touch for as long as `contact_ms` asks.
            Time.sleep(6_000);
            ExecutorService clients = Executors.newCachedThreadPool();
            if (isTrouble) {
                isFaulty.set(true);
                record.line("client sends t1; the engine that gets it answers without end");
                clients.submit(() -> get(front, "t1", "/a/history"));
                Time.sleep(300);
            }
            return judge(record, front, clients);
        }
    }

    private static boolean writeWithoutEnd(Engine engine, Socket socket, Http.Message request, Record record) {
        long bytes = 0;
        try {
            String head = "HTTP/1.1 200 OK\r\n" + engine.headers(request) + "Transfer-Encoding: chunked\r\n\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
            byte[] lines = LOG_LINE.repeat(100).getBytes(StandardCharsets.ISO_8859_1);
            byte[] chunk = (Integer.toHexString(lines.length) + "\r\n" + new String(lines, StandardCharsets.ISO_8859_1) + "\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
            while (true) {
                socket.getOutputStream().write(chunk);
                bytes += chunk.length;
            }
        } catch (java.io.IOException e) {
            record.line("engine " + engine.id + ": the caller closed after " + bytes + " bytes");
        }
        return false;
    }

    private static int judge(Record record, InetSocketAddress front, ExecutorService clients) throws Exception {
        AtomicInteger unanswered = new AtomicInteger();
        AtomicInteger late = new AtomicInteger();
        AtomicInteger answered = new AtomicInteger();
        List<Integer> statuses = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            String id = "s" + i;
            clients.submit(() -> {
                long startNs = System.nanoTime();
                Http.Message response = get(front, id, "/a/read");
                long tookMs = (System.nanoTime() - startNs) / 1_000_000;
                boolean isUnanswered = response == null || tookMs > TIMEOUT_MS;
                if (response != null) answered.incrementAndGet();
                if (isUnanswered) unanswered.incrementAndGet();
                if (response == null || tookMs > TIMEOUT_MS + LATE_MS) late.incrementAndGet();
                record.line("client " + id + ": " + (response == null ? "no answer" : response.firstLine()) + " after " + tookMs + " ms");
            });
            Time.sleep(INTERVAL_MS);
        }
        clients.shutdown();
        clients.awaitTermination(CLIENT_MS + 2_000, TimeUnit.MILLISECONDS);
        record.line("sound requests " + REQUESTS + ", answered " + answered + ", unanswered at timeout_ms " + unanswered
            + ", of these without an answer half a second later " + late);
        boolean isBroken = unanswered.get() >= MIN_UNANSWERED && late.get() * 2 > unanswered.get();
        return isBroken ? 1 : 0;
    }

    private static Http.Message get(InetSocketAddress front, String id, String path) {
        String headers = "Host: office.example\r\nX-Arbutusrelay-Attempt-Id: " + id + "\r\nX-Arbutusrelay-Deadline-Ms: " + CLIENT_MS + "\r\n";
        return Http.exchange(front, "GET " + path + " HTTP/1.1", headers, new byte[0], CLIENT_MS);
    }
}

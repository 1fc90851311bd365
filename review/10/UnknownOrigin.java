import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An entry host freezes, and the first engine of a new software version starts meanwhile. The clients of the frozen
 * host give their streams up and take them up again at another entry host, which is in touch. Counted are the streams
 * that go on, against the share of new streams that begin there at the same time.
 */
final class UnknownOrigin {
    private static final int TIMEOUT_MS = 10_000;
    private static final int EVENTS = 60;
    private static final int PAUSE_MS = 120;
    private static final int TARGET_PAUSE_MS = 400;
    private static final int STREAMS = 16;
    private static final int NEW_STREAMS = 12;

    /** Eight times the pause that the route allows, after which clients give a stream up. */
    private static final int GAP_MS = 8 * TARGET_PAUSE_MS;
    private static final int FREEZE_MS = 4_000;

    /** The rule counts from 12 streams on. */
    private static final int MIN_TAKEN_UP = 12;

    public static void main(String[] args) throws Exception {
        boolean isTrouble = !"0".equals(System.getenv("TROUBLE"));
        int exit = 2;
        try (Record record = new Record(Path.of(args[0]))) {
            List<String> zones = List.of("hue-a", "danang-a", "quangtri-a");
            try (Deployment site = new Deployment(record, zones, Deployment.FRONT_ZONES)) {
                exit = run(record, site, isTrouble);
            } catch (Exception e) {
                record.line("the case could not run: " + e);
            }
            record.line("exit " + exit);
        }
        System.exit(exit);
    }

    private static int run(Record record, Deployment site, boolean isTrouble) throws Exception {
        Deployment.Host frozen = site.fronts.get(0);
        Deployment.Host other = site.fronts.get(1);
        site.startAll();
        List<InetSocketAddress> controls = site.core.stream().map(site::controlAddress).toList();
        Engine.Handler handler = EventStream.handler(EVENTS, PAUSE_MS);
        List<Engine> engines = new ArrayList<>();
        for (int number = 1; number <= 2; number++) {
            engines.add(new Engine(
                "i-old-" + number, "v1", "bulletin", "hue-a", Engine.MODEL_SLOTS, site.engineAddress(number), controls, record, handler));
        }
        String extra = ",\"session_affinity\":true,\"resumable\":true,\"gap_aim_ms\":" + TARGET_PAUSE_MS;
        Operator operator = new Operator(controls, record);
        if (!operator.order("POST", "/Config.Replace", Operator.document(1, "streaming", TIMEOUT_MS, 2, extra), 20_000)) return 2;
        for (Deployment.Host host : List.of(frozen, other)) {
            boolean isServing = Time.await(20_000, () -> {
                StreamClient warm = new StreamClient(record, "warm-" + System.nanoTime(), TIMEOUT_MS, GAP_MS);
                return warm.read(site.frontAddress(host)) == StreamClient.End.WHOLE;
            });
            if (!isServing) return 2;
        }
        // The hosts have been in touch for as long as `contact_ms` asks.
        Time.sleep(8_000);
        ExecutorService clients = Executors.newCachedThreadPool();
        AtomicInteger takenUp = new AtomicInteger();
        AtomicInteger goneOn = new AtomicInteger();
        for (int i = 0; i < STREAMS; i++) {
            StreamClient stream = new StreamClient(record, "s" + i, TIMEOUT_MS, GAP_MS);
            clients.submit(() -> {
                stream.read(site.frontAddress(frozen));
                if (stream.lastEventId == 0 || stream.lastEventId == EVENTS) return;
                takenUp.incrementAndGet();
                int before = stream.events;
                stream.read(site.frontAddress(other));
                if (stream.events > before) goneOn.incrementAndGet();
            });
            Time.sleep(40);
        }
        Time.sleep(400);
        if (isTrouble) site.signal(frozen, "STOP");
        Time.sleep(500);
        engines.add(new Engine(
            "i-new", "v2", "bulletin", "hue-a", Engine.MODEL_SLOTS, site.engineAddress(3), controls, record, handler));
        record.line("engine i-new of software version v2 starts");
        Time.sleep(GAP_MS - 700);
        AtomicInteger begun = new AtomicInteger();
        for (int i = 0; i < NEW_STREAMS; i++) {
            StreamClient stream = new StreamClient(record, "n" + i, TIMEOUT_MS, GAP_MS);
            clients.submit(() -> {
                stream.read(site.frontAddress(other));
                if (stream.events > 0) begun.incrementAndGet();
            });
            Time.sleep(60);
        }
        Time.sleep(Math.max(0, FREEZE_MS - GAP_MS - NEW_STREAMS * 60));
        if (isTrouble) site.signal(frozen, "CONT");
        clients.shutdown();
        clients.awaitTermination(TIMEOUT_MS + 2_000, TimeUnit.MILLISECONDS);
        record.line("streams taken up again " + takenUp + ", of these gone on " + goneOn + "; new streams " + NEW_STREAMS
            + ", of these begun " + begun);
        for (Engine engine : engines) engine.close();
        if (isTrouble && takenUp.get() < MIN_TAKEN_UP) return 2;
        boolean isBroken = takenUp.get() >= MIN_TAKEN_UP
            && goneOn.get() * 2.0 / takenUp.get() < (double) begun.get() / NEW_STREAMS;
        return isBroken ? 1 : 0;
    }
}

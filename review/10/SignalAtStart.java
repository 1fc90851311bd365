import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The settings file of an entry host changes, and the host gets SIGHUP, soon after it was started again by a rolling
 * restart. Counted are the streams that it took within `config_apply_ms` of the signal and that ended without their end.
 */
final class SignalAtStart {
    private static final int TIMEOUT_MS = 10_000;
    private static final int CONFIG_APPLY_MS = 3_000;
    private static final int CONTACT_MS = 5_000;
    private static final int GRACE_MS = 8_000;
    private static final int EVENTS = 36;

    /** Below the 600 ms that the route allows between two events. */
    private static final int PAUSE_MS = 250;
    private static final int STREAMS = 6;

    /** Eight times the pause that the route allows, after which clients give a stream up. */
    private static final int GAP_MS = 4_800;

    /** Times of the signal, as parts of the time that a host needs until it listens; one restart for each. */
    private static final double[] SIGNAL_TIMES = {0.7, 0.85, 0.55};

    public static void main(String[] args) throws Exception {
        boolean isTrouble = !"0".equals(System.getenv("TROUBLE"));
        int exit = 2;
        try (Record record = new Record(Path.of(args[0]))) {
            List<String> zones = List.of("hue-a", "danang-a", "quangtri-a");
            try (Deployment site = new Deployment(record, zones, List.of("hue-a", "hue-a"))) {
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
        Engine.Handler handler = EventStream.handler(EVENTS, PAUSE_MS);
        Engine first = new Engine(
            "i-first", "v1", "bulletin", "hue-a", Engine.MODEL_SLOTS, site.engineAddress(1), controls, record, handler);
        Engine second = new Engine(
            "i-second", "v1", "bulletin", "hue-a", Engine.MODEL_SLOTS, site.engineAddress(2), controls, record, handler);
        try (first; second) {
            String extra = ",\"session_affinity\":true,\"resumable\":false,\"gap_aim_ms\":600";
            Operator operator = new Operator(controls, record);
            String document = Operator.document(1, "streaming", TIMEOUT_MS, 1, extra);
            if (!operator.order("POST", "/Config.Replace", document, 20_000)) return 2;
            for (Deployment.Host host : site.fronts) if (!site.awaitReady(host, 15_000)) return 2;
            Time.sleep(CONTACT_MS);
            Deployment.Host measured = site.fronts.get(1);
            Deployment.Host host = site.fronts.get(0);
            if (!restart(record, site, measured)) return 2;
            long listenMs = awaitListening(site.frontAddress(measured));
            if (listenMs < 0 || !site.awaitReady(measured, 15_000)) return 2;
            record.line(measured.name + " listens " + listenMs + " ms after its start");
            Time.sleep(CONTACT_MS);
            int rounds = isTrouble ? SIGNAL_TIMES.length : 1;
            for (int round = 0; round < rounds; round++) {
                if (!restart(record, site, host)) return 2;
                Time.sleep((long) (listenMs * SIGNAL_TIMES[round]));
                if (isTrouble) site.signal(host, "HUP");
                if (countCut(record, site, host) > 0) return 1;
                if (!host.process.isAlive()) site.start(host, false);
                if (!site.awaitReady(host, 15_000)) return 2;
            }
            return 0;
        }
    }

    /** Stops [host] by SIGTERM, as a rolling restart does, and starts it again. */
    private static boolean restart(Record record, Deployment site, Deployment.Host host) throws Exception {
        site.signal(host, "TERM");
        if (!host.process.waitFor(GRACE_MS, TimeUnit.MILLISECONDS)) return false;
        record.line(host.name + " ended with exit code " + host.process.exitValue());
        site.start(host, false);
        return true;
    }

    private static long awaitListening(InetSocketAddress address) {
        long startNs = System.nanoTime();
        while ((System.nanoTime() - startNs) / 1_000_000 < 15_000) {
            try (Socket socket = new Socket()) {
                socket.connect(address, 1_000);
                return (System.nanoTime() - startNs) / 1_000_000;
            } catch (java.io.IOException e) {
                Time.sleep(2);
            }
        }
        return -1;
    }

    /** Sends streams to [host] for `config_apply_ms`, and returns how many of those that it took were cut. */
    private static int countCut(Record record, Deployment site, Deployment.Host host) throws Exception {
        Process started = host.process;
        AtomicInteger whole = new AtomicInteger();
        AtomicInteger cut = new AtomicInteger();
        ExecutorService clients = Executors.newCachedThreadPool();
        long startNs = System.nanoTime();
        for (int sent = 0; (System.nanoTime() - startNs) / 1_000_000 < CONFIG_APPLY_MS - 100; sent++) {
            StreamClient stream = new StreamClient(record, "s" + sent, TIMEOUT_MS, GAP_MS);
            clients.submit(() -> {
                StreamClient.End end = stream.read(site.frontAddress(host));
                if (end == StreamClient.End.WHOLE) whole.incrementAndGet();
                if (end == StreamClient.End.BROKEN_OFF && stream.events > 0) cut.incrementAndGet();
            });
            Time.sleep(CONFIG_APPLY_MS / STREAMS);
        }
        clients.shutdown();
        clients.awaitTermination(TIMEOUT_MS + 2_000, TimeUnit.MILLISECONDS);
        if (!started.isAlive()) record.line(host.name + " ended by itself with exit code " + started.exitValue());
        record.line("streams: whole " + whole + ", cut " + cut);
        return cut.get();
    }
}

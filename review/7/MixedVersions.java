import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * An entry host is cut off from the core while an engine of a new software version starts. Streams that begin at that
 * engine break when the other entry host is killed, and their clients take them up at the host that was cut off.
 * Counted are the streams whose client holds events of both software versions.
 */
final class MixedVersions {
    private static final int TIMEOUT_MS = 10_000;
    private static final int EVENTS = 30;
    private static final int PAUSE_MS = 150;
    private static final int STREAMS = 24;

    /** Eight times the pause that the route allows, after which clients give a stream up. */
    private static final int GAP_MS = 4_800;

    /** Longer than the time for which a host must have known the servers of a service. */
    private static final int WARM_UP_MS = 17_000;

    /** Length of `node_cut` in the site file. */
    private static final int CUT_MS = 5_500;

    /** The rule allows two such streams. */
    private static final int MAX_MIXED = 2;

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
        Deployment.Host killed = site.fronts.get(0);
        Deployment.Host cutOff = site.fronts.get(1);
        cutOff.internalOffset = Deployment.INTERNAL_PORTS;
        List<Proxy> proxies = new ArrayList<>();
        for (Deployment.Host core : site.core) {
            proxies.add(new Proxy(site.linkAddress(core, cutOff.internalOffset), site.linkAddress(core, 0)));
        }
        site.startAll();
        List<InetSocketAddress> controls = site.core.stream().map(site::controlAddress).toList();
        Engine.Handler handler = EventStream.handler(EVENTS, PAUSE_MS);
        List<Engine> engines = new ArrayList<>();
        for (int number = 1; number <= 2; number++) {
            engines.add(new Engine(
                "i-old-" + number, "v1", "bulletin", "hue-a", Engine.MODEL_SLOTS, site.engineAddress(number), controls, record, handler));
        }
        String extra = ",\"session_affinity\":true,\"resumable\":true,\"gap_aim_ms\":600";
        Operator operator = new Operator(controls, record);
        String document = Operator.document(1, "streaming", TIMEOUT_MS, 2, extra);
        if (!operator.order("POST", "/Config.Replace", document, 20_000)) return 2;
        for (Deployment.Host host : List.of(killed, cutOff)) {
            boolean isServing = Time.await(15_000, () -> {
                StreamClient warm = new StreamClient(record, "warm-" + System.nanoTime(), TIMEOUT_MS, GAP_MS);
                return warm.read(site.frontAddress(host)) == StreamClient.End.WHOLE;
            });
            if (!isServing) return 2;
        }
        Time.sleep(WARM_UP_MS);
        long cutNs = System.nanoTime();
        if (isTrouble) {
            proxies.forEach(Proxy::cut);
            record.line(cutOff.name + " is cut off from the core");
        }
        Time.sleep(300);
        engines.add(new Engine(
            "i-new", "v2", "bulletin", "hue-a", Engine.MODEL_SLOTS, site.engineAddress(3), controls, record, handler));
        record.line("engine i-new of software version v2 starts");
        Time.sleep(1_500);
        ExecutorService clients = Executors.newCachedThreadPool();
        List<StreamClient> streams = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
            StreamClient stream = new StreamClient(record, "s" + i, TIMEOUT_MS, GAP_MS);
            streams.add(stream);
            clients.submit(() -> {
                stream.read(site.frontAddress(killed));
                if (stream.lastEventId > 0 && stream.lastEventId < EVENTS) stream.read(site.frontAddress(cutOff));
            });
            Time.sleep(25);
        }
        Time.sleep(600);
        record.line("kill " + killed.name);
        killed.process.destroyForcibly();
        Time.sleep(CUT_MS - (System.nanoTime() - cutNs) / 1_000_000);
        if (isTrouble) {
            proxies.forEach(Proxy::heal);
            record.line(cutOff.name + " reaches the core again");
        }
        clients.shutdown();
        clients.awaitTermination(TIMEOUT_MS, TimeUnit.MILLISECONDS);
        int mixed = 0;
        int whole = 0;
        for (StreamClient stream : streams) {
            record.line("stream " + stream.id + ": versions " + stream.versions + ", last event " + stream.lastEventId);
            if (stream.versions.size() > 1) mixed++;
            if (stream.lastEventId == EVENTS) whole++;
        }
        record.line("streams " + STREAMS + ", whole " + whole + ", with events of two software versions " + mixed);
        for (Engine engine : engines) engine.close();
        for (Proxy proxy : proxies) proxy.close();
        return mixed > MAX_MIXED ? 1 : 0;
    }
}

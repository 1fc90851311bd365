import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The hosts of a small deployment: each is a process of its own on a loopback address, started with the command of its
 * role in `deploy/system.toml` and with settings from `deploy/settings.toml`. Bounds are those of `sites/cao-pho.toml`.
 */
final class Deployment implements AutoCloseable {
    /** Zones and their regions. */
    static final Map<String, String> ZONES = zones();

    /** Zones of the eight entry hosts on the sheet. */
    static final List<String> FRONT_ZONES =
        List.of("hue-a", "hue-a", "hue-a", "danang-a", "danang-a", "danang-a", "quangtri-a", "quangtri-a");

    private static final int FRONT = 1;
    private static final int READY = 2;
    private static final int CONTROL = 3;
    private static final int DIRECTORY = 4;
    private static final int ENGINE = 5;
    private static final int INTERNAL = 10;
    static final int INTERNAL_PORTS = 16;
    private static final int METRICS_PORT = 9464;
    private static final long STOP_MS = 3_000;

    /** One machine; `process` is null while nothing runs on it. */
    static final class Host {
        final String name;
        final boolean isCore;
        final String ip;
        final String zone;
        Process process;

        /** Added to the ports of `internal_port_range`; not 0 for a host whose links to the core pass a proxy. */
        int internalOffset;

        private Host(String name, boolean isCore, String ip, String zone) {
            this.name = name;
            this.isCore = isCore;
            this.ip = ip;
            this.zone = zone;
        }
    }

    final Path folder = Files.createTempDirectory("review-");
    final List<Host> core = new ArrayList<>();
    final List<Host> fronts = new ArrayList<>();
    private final Record record;
    private final String network;
    private final int basePort;
    private int starts;

    /** Plans [coreZones] core hosts and [frontZones] entry hosts, one in each zone that is listed, and starts none. */
    Deployment(Record record, List<String> coreZones, List<String> frontZones) throws IOException {
        this.record = record;
        Random random = new Random();
        String foundNetwork = null;
        int foundPort = 0;
        for (int attempt = 0; foundNetwork == null; attempt++) {
            if (attempt == 100) throw new IOException("no free ports");
            String candidate = "127." + (10 + random.nextInt(200)) + "." + random.nextInt(250) + ".";
            int port = 20_000 + random.nextInt(10_000);
            if (isFree(candidate, port, coreZones.size() + frontZones.size())) {
                foundNetwork = candidate;
                foundPort = port;
            }
        }
        network = foundNetwork;
        basePort = foundPort;
        for (String zone : coreZones) add(core, true, zone);
        for (String zone : frontZones) add(fronts, false, zone);
        // Also when this program is ended by a signal.
        Runtime.getRuntime().addShutdownHook(new Thread(this::endAll));
    }

    private void add(List<Host> hosts, boolean isCore, String zone) {
        String name = (isCore ? "core-" : "front-") + zone + "-" + (hosts.size() + 1);
        hosts.add(new Host(name, isCore, network + (1 + core.size() + fronts.size()), zone));
    }

    private static boolean isFree(String network, int port, int hosts) {
        for (int host = 1; host <= hosts; host++) {
            List<Integer> ports = new ArrayList<>(List.of(METRICS_PORT));
            for (int offset = FRONT; offset < INTERNAL + 2 * INTERNAL_PORTS; offset++) ports.add(port + offset);
            for (int each : ports) {
                try (ServerSocket socket = new ServerSocket()) {
                    socket.bind(new InetSocketAddress(network + host, each));
                } catch (IOException e) {
                    return false;
                }
            }
        }
        return true;
    }

    InetSocketAddress frontAddress(Host host) {
        return new InetSocketAddress(host.ip, basePort + FRONT);
    }

    InetSocketAddress controlAddress(Host host) {
        return new InetSocketAddress(host.ip, basePort + CONTROL);
    }

    InetSocketAddress readyAddress(Host host) {
        return new InetSocketAddress(host.ip, basePort + READY);
    }

    /** Returns the address of [host] for links of a host whose ports are [offset] higher. */
    InetSocketAddress linkAddress(Host host, int offset) {
        return new InetSocketAddress(host.ip, basePort + INTERNAL + offset);
    }

    /** Returns the address of the engine with [number], from 1 on. */
    InetSocketAddress engineAddress(int number) {
        return new InetSocketAddress(network + (100 + number), basePort + ENGINE);
    }

    /** Starts all hosts for the first time. */
    void startAll() throws IOException {
        for (Host host : core) start(host, true);
        for (Host host : fronts) start(host, true);
    }

    /** Starts the process of [host]; [isBootstrap] only when the whole system starts for the first time. */
    void start(Host host, boolean isBootstrap) throws IOException {
        Path settings = folder.resolve(host.name + ".toml");
        Files.writeString(settings, Template.render(Files.readString(Path.of("deploy/settings.toml")), fields(host, isBootstrap)));
        List<String> command = List.of(runLine(host.isCore ? "core" : "front").split(" +"));
        ProcessBuilder builder = new ProcessBuilder(command);
        Map<String, String> environment = new LinkedHashMap<>(builder.environment());
        builder.environment().clear();
        for (String name : List.of("PATH", "HOME", "JAVA_HOME", "LANG")) {
            if (environment.containsKey(name)) builder.environment().put(name, environment.get(name));
        }
        builder.environment().put("ARBUTUSRELAY_NODE_FILE", settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(host.name + ".log").toFile()));
        host.process = builder.start();
        starts++;
        record.line("start " + host.name + " " + host.ip + " pid " + host.process.pid());
    }

    /** Returns true once the readiness check of [host] is passed; false if that takes longer than [maxMs]. */
    boolean awaitReady(Host host, long maxMs) {
        boolean isReady = Time.await(maxMs, () -> {
            Http.Message response = Http.exchange(
                readyAddress(host), "GET /ready HTTP/1.1", "Host: ready\r\nConnection: close\r\n", new byte[0], 1_000);
            return response != null && response.status() == 200;
        });
        if (!isReady) record.line(host.name + " is not ready");
        return isReady;
    }

    /** Sends the signal [name], such as `HUP`, to the process of [host]. */
    void signal(Host host, String name) throws IOException, InterruptedException {
        record.line("signal " + name + " to " + host.name);
        new ProcessBuilder("kill", "-" + name, Long.toString(host.process.pid())).inheritIO().start().waitFor();
    }

    /** Returns the command of the role that runs on machines of [machineClass]. */
    private static String runLine(String machineClass) throws IOException {
        String text = Files.readString(Path.of("deploy/system.toml"));
        for (String role : text.split("(?m)^\\[roles\\.")) {
            Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(role);
            if (role.contains("on = \"" + machineClass + "\"") && run.find()) return run.group(1);
        }
        throw new IOException("deploy/system.toml has no role on " + machineClass);
    }

    private Map<String, Object> fields(Host host, boolean isBootstrap) throws IOException {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("node_name", host.name);
        fields.put("machine_class", host.isCore ? "core" : "front");
        fields.put("ip", host.ip);
        fields.put("zone", host.zone);
        fields.put("region", ZONES.get(host.zone));
        fields.put("zones", ZONES);
        Map<String, Object> listen = new LinkedHashMap<>();
        if (host.isCore) {
            listen.put("control", host.ip + ":" + (basePort + CONTROL));
            listen.put("directory", host.ip + ":" + (basePort + DIRECTORY));
        } else {
            listen.put("front", host.ip + ":" + (basePort + FRONT));
            listen.put("ready", host.ip + ":" + (basePort + READY));
        }
        fields.put("listen", listen);
        int internal = basePort + INTERNAL + host.internalOffset;
        fields.put("internal_port_range", List.of(internal, internal + INTERNAL_PORTS - 1));
        List<String> seeds = new ArrayList<>();
        for (Host each : core) if (seeds.size() < 3) seeds.add(each.ip + ":" + (basePort + CONTROL));
        fields.put("seed_nodes", seeds);
        fields.put("bootstrap", isBootstrap);
        if (host.isCore) {
            Path data = folder.resolve("data-" + host.name);
            Files.createDirectories(data);
            fields.put("data_dir", data.toString());
        }
        fields.put("limits", limits(host.isCore));
        fields.put("bounds", bounds());
        return fields;
    }

    private static Map<String, Object> limits(boolean isCore) {
        Map<String, Object> limits = new LinkedHashMap<>();
        limits.put("cpu_share", isCore ? 0.9 : 0.75);
        limits.put("cpu_cores", isCore ? 2 : 1);
        limits.put("memory_mb", isCore ? 426 : 430);
        limits.put("max_fds", isCore ? 4_096 : 4_100);
        limits.put("link_mbps", 1000.0);
        return limits;
    }

    private static Map<String, Object> bounds() {
        Map<String, Object> bounds = new LinkedHashMap<>();
        bounds.put("retry_budget_ratio", 0.2);
        bounds.put("budget_window_s", 10);
        bounds.put("retry_budget_slack", 56);
        bounds.put("cold_multiplier", 1.5);
        bounds.put("cold_slack", 3);
        bounds.put("grace_s", 8);
        bounds.put("ttl_max_s", 5);
        return bounds;
    }

    private static Map<String, String> zones() {
        Map<String, String> zones = new LinkedHashMap<>();
        zones.put("hue-a", "hue");
        zones.put("danang-a", "danang");
        zones.put("quangtri-a", "quangtri");
        return zones;
    }

    private void endAll() {
        List<Host> all = new ArrayList<>(fronts);
        all.addAll(core);
        for (Host host : all) if (host.process != null) host.process.destroyForcibly();
        for (Host host : all) {
            try {
                if (host.process != null) host.process.waitFor(STOP_MS, TimeUnit.MILLISECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /** Ends all processes that were started, and removes the temporary folder unless `KEEP` is set. */
    @Override
    public void close() throws IOException {
        endAll();
        record.line("ended " + starts + " processes");
        if (System.getenv("KEEP") != null) {
            record.line("kept " + folder);
            return;
        }
        try (var files = Files.walk(folder)) {
            for (Path path : files.sorted(Comparator.reverseOrder()).toList()) Files.deleteIfExists(path);
        }
    }
}

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * A small deployment on loopback addresses: the project's own programs as separate processes, started with the commands
 * of the deploy file.
 *
 * The regions are {@code north} and {@code south}, with one zone each. The second byte of the addresses differs between
 * runs, so that several can run at once.
 */
final class Site implements AutoCloseable {
    static final List<String> REGIONS = List.of("north", "south");
    private static final int PORTS = 8;

    /** The settings name three machines that serve control, or fewer if there are fewer. */
    private static final int SEEDS = 3;
    private static final int START_TIMEOUT_MS = 40_000;

    final Path folder;
    final int network;
    private final Path root;
    private final int firstPort;
    private final List<String> stateHosts = new ArrayList<>();
    private final Map<String, Process> processes = new ConcurrentHashMap<>();
    private boolean isFirstStart = true;

    Site(Path root, int stateHostCount) throws IOException {
        this.root = root;
        this.folder = Files.createTempDirectory("review-site");
        Random random = new Random();
        this.network = 20 + random.nextInt(200);
        this.firstPort = freePorts(random);
        for (int i = 0; i < stateHostCount; i++) stateHosts.add("127." + network + ".0." + (i + 1));
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    String callerAddress(String host) {
        return host + ":" + (firstPort + 2);
    }

    String entryHost(String region, int number) {
        return "127." + network + "." + (REGIONS.indexOf(region) + 1) + "." + number;
    }

    String engineAddress(String region, int number) {
        return "127." + network + "." + (REGIONS.indexOf(region) + 1) + "." + (100 + number) + ":" + (firstPort + 6);
    }

    void startStateHosts() throws IOException {
        for (int i = 0; i < stateHosts.size(); i++) {
            start("state", stateHosts.get(i), REGIONS.get(i % REGIONS.size()));
        }
    }

    void startEntryHost(String host, String region) throws IOException {
        start("entry", host, region);
    }

    List<String> stateHosts() {
        return List.copyOf(stateHosts);
    }

    /** Kills the process of a host. */
    void kill(String host) {
        Process process = processes.get(host);
        process.destroyForcibly();
        try {
            process.waitFor();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Empties the data folder of a state host whose process does not run, as a machine that lost its disk. */
    void wipe(String host) throws IOException {
        delete(folder.resolve("data-" + host));
    }

    /** Starts the process of a state host again; the whole system does not start for the first time then. */
    void restartStateHost(String host) throws IOException {
        isFirstStart = false;
        start("state", host, REGIONS.get(stateHosts.indexOf(host) % REGIONS.size()));
    }

    /** Calls the state host that the number of the attempt selects; follows redirects. */
    Http.Message call(int attempt, String method, String path, String body) throws IOException {
        return Http.call(controlAddress(stateHosts.get(attempt % stateHosts.size())), method, path, body, 2_000);
    }

    /** Reads the configuration at one state host; returns null if there is no response. */
    Http.Message read(String host) {
        try {
            return Http.call(controlAddress(host), "GET", "/Config.Read", "", 1_000);
        } catch (IOException e) {
            return null;
        }
    }

    /** Sends an order or a heartbeat to one state host after another until one acknowledges it. */
    void post(String path, String body) throws IOException {
        long endMs = nowMs() + START_TIMEOUT_MS;
        while (true) {
            for (String host : stateHosts) {
                try {
                    int status = Http.call(controlAddress(host), "POST", path, body, 1_000).status();
                    if (status / 100 == 2) return;
                    if (status == 400 || status == 422) throw new IllegalStateException(path + ": " + status);
                } catch (IOException e) {
                    // The next state host is tried.
                }
            }
            if (nowMs() > endMs) throw new IOException(path + " was not acknowledged");
            sleep(50);
        }
    }

    /** Waits until the entry host says that it is ready. */
    void awaitReady(String host) throws IOException {
        long endMs = nowMs() + START_TIMEOUT_MS;
        while (true) {
            try {
                if (Http.call(host + ":" + (firstPort + 4), "GET", "/ready", "", 1_000).status() == 200) return;
            } catch (IOException e) {
                // The process is still starting.
            }
            if (nowMs() > endMs) throw new IOException(host + " is not ready");
            sleep(50);
        }
    }

    @Override
    public void close() {
        processes.values().forEach(Process::destroyForcibly);
        for (Process process : processes.values()) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        if (System.getenv("KEEP_LOGS") != null) return;
        try {
            delete(folder);
        } catch (IOException e) {
            // The folder was removed by an earlier call.
        }
    }

    private static void delete(Path target) throws IOException {
        try (Stream<Path> files = Files.walk(target)) {
            files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
        }
    }

    private String controlAddress(String host) {
        return host + ":" + (firstPort + 2);
    }

    private void start(String role, String host, String region) throws IOException {
        Path settings = folder.resolve(host + ".toml");
        Files.writeString(settings, settings(role, host, region));
        ProcessBuilder builder = new ProcessBuilder(command(role).split(" "));
        builder.directory(root.toFile());
        builder.environment().put("ARBUTUSRELAY_NODE_FILE", settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(host + ".log").toFile()));
        processes.put(host, builder.start());
    }

    /** Returns the command of a role in the deploy file. */
    private String command(String role) throws IOException {
        String text = Files.readString(root.resolve("deploy/system.toml"));
        Matcher matcher = Pattern.compile("\\[roles\\." + role + "\\]\\s+run = \"([^\"]+)\"").matcher(text);
        if (!matcher.find()) throw new IOException("deploy/system.toml has no role " + role);
        return matcher.group(1);
    }

    /** Renders the settings of one process; the bounds are those of the site file cao-pho. */
    private String settings(String role, String host, String region) {
        boolean isState = role.equals("state");
        List<String> lines = new ArrayList<>(List.of(
            "nodeName = \"" + host + "\"",
            "bindAddress = \"" + host + "\"",
            "region = \"" + region + "\"",
            "availabilityZone = \"" + region + "-a\"",
            (isState ? "controlAddress" : "callerAddress") + " = \"" + host + ":" + (firstPort + 2) + "\"",
            (isState ? "directoryAddress" : "readyAddress") + " = \"" + host + ":" + (firstPort + 4) + "\"",
            "linkPort = " + firstPort,
            "metricsPort = " + (firstPort + 3),
            "sharedSecret = \"site-link\""));
        if (isState) lines.add("dataFolder = \"" + folder.resolve("data-" + host) + "\"");
        lines.add("isFounding = " + isFirstStart);
        lines.add("seeds = [" + String.join(", ", stateHosts.stream().limit(SEEDS).map(it -> "\"" + controlAddress(it) + "\"").toList())
            + "]");
        lines.addAll(List.of("[bounds]", "retryShare = 0.2", "retryWindowSeconds = 10", "retrySlack = 56",
            "coldMultiplier = 1.5", "coldSlack = 3", "graceSeconds = 8", "listLifetimeMaxSeconds = 5"));
        for (String name : REGIONS) {
            lines.addAll(List.of("[[availabilityZones]]", "name = \"" + name + "-a\"", "region = \"" + name + "\""));
        }
        return String.join("\n", lines) + "\n";
    }

    private static int freePorts(Random random) {
        while (true) {
            int first = 12_000 + random.nextInt(18_000);
            boolean isFree = true;
            for (int port = first; port < first + PORTS; port++) isFree &= isFree(port);
            if (isFree) return first;
        }
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress(InetAddress.getByName("0.0.0.0"), port));
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}

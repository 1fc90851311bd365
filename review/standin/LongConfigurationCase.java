import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/**
 * The configuration grows by many routes, and is then changed a few hundred times. At the end the operator reads the
 * newest configuration back.
 */
final class LongConfigurationCase {
    /** Routes that the configuration grows by, as in the site file shina-relay-grown. */
    private static final int ADDED_ROUTES = 1_400;
    private static final int FIRST_ROUTES = 12;
    private static final int CHANGES = 200;
    /** Time between two changes of a storm in the site file. */
    private static final int CHANGE_INTERVAL_MS = 300;

    /** After this time without an acknowledgement the operator sends no more changes. */
    private static final int ACK_MS = 8_000;
    private static final int READ_BACK_MS = 15_000;

    private final Site site;
    private final Record record;

    private LongConfigurationCase(Site site, Record record) {
        this.site = site;
        this.record = record;
    }

    public static void main(String[] arguments) throws Exception {
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        Path root = Path.of(arguments[0]);
        try (Record record = new Record(Path.of(arguments[1])); Site site = new Site(root, 3)) {
            int exitCode = new LongConfigurationCase(site, record).run(hasTrouble ? ADDED_ROUTES : 0);
            site.close();
            System.exit(exitCode);
        }
    }

    private int run(int addedRoutes) throws Exception {
        site.startStateHosts();
        site.post("/Config.Replace", document(1, FIRST_ROUTES));
        Site.sleep(5_000);
        int bytes = document(2, FIRST_ROUTES + addedRoutes).length();
        record.write("the configuration has " + (FIRST_ROUTES + addedRoutes) + " routes and " + bytes + " bytes");
        int acknowledged = 1;
        for (int version = 2; version <= CHANGES; version++) {
            long startMs = Site.nowMs();
            if (!publish(version, document(version, FIRST_ROUTES + addedRoutes))) {
                record.write("version " + version + " is not acknowledged within " + ACK_MS + " ms");
                break;
            }
            acknowledged = version;
            record.write("version " + version + " is acknowledged after " + (Site.nowMs() - startMs) + " ms");
            Site.sleep(Math.max(0, CHANGE_INTERVAL_MS - (Site.nowMs() - startMs)));
        }
        int read = readBack(acknowledged);
        String result = "acknowledged version " + acknowledged + "; read back "
            + (read < 0 ? "no configuration" : "version " + read);
        record.write(result);
        System.out.println(result);
        if (acknowledged < 20) return 2;
        return read < acknowledged ? 1 : 0;
    }

    /** Sends a change to one state host after another until one acknowledges it. */
    private boolean publish(int version, String document) {
        long endMs = Site.nowMs() + ACK_MS;
        for (int attempt = version; Site.nowMs() < endMs; attempt++) {
            try {
                int status = site.call(attempt, "POST", "/Config.Replace", document).status();
                if (status == 200) return true;
                record.write("version " + version + " is answered with " + status);
            } catch (IOException e) {
                record.write("version " + version + " is not answered: " + e.getMessage());
            }
            Site.sleep(100);
        }
        return false;
    }

    private int readBack(int acknowledged) {
        long endMs = Site.nowMs() + READ_BACK_MS;
        int newest = -1;
        for (int attempt = 0; Site.nowMs() < endMs && newest < acknowledged; attempt++) {
            try {
                Http.Message response = site.call(attempt, "GET", "/Config.Read", "");
                record.write("the configuration is read: " + response.status());
                if (response.status() != 200) continue;
                String body = new String(response.body, StandardCharsets.UTF_8);
                newest = Math.max(newest, Integer.parseInt(body.substring(body.indexOf(':') + 1, body.indexOf(','))));
            } catch (IOException e) {
                record.write("the configuration is not read: " + e.getMessage());
            }
            Site.sleep(300);
        }
        return newest;
    }

    private static String document(int version, int routes) {
        StringBuilder text = new StringBuilder("{\"version\":" + version + ",\"routes\":[");
        for (int i = 0; i < routes; i++) {
            if (i > 0) text.append(',');
            int timeoutMs = 4_000 + (i == version % routes ? version : 0);
            text.append("{\"name\":\"r-x73d3zj").append(i).append("\",\"hostname\":\"ficu95.example\",\"path_prefix\":\"/lohu")
                .append(i).append("/\",\"kind\":\"streaming\",\"timeout_ms\":").append(timeoutMs)
                .append(",\"target_latency_ms\":800,\"priority\":1,\"traffic_split\":[{\"service\":\"huvo11a\",\"weight\":90},")
                .append("{\"service\":\"wuno96b\",\"weight\":10}],\"max_attempts\":2,\"session_affinity\":true,")
                .append("\"resumable\":true,\"gap_aim_ms\":600,\"home_regions\":[\"karaganda\",\"astana\"]}");
        }
        return text + "],\"services\":[{\"name\":\"huvo11a\",\"health_path\":\"/health\",\"max_connections\":360,"
            + "\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":3.0,\"cold_per_s\":2.6},{\"name\":\"wuno96b\","
            + "\"health_path\":\"/health\",\"max_connections\":100}],\"limits\":{"
            + "\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
    }
}

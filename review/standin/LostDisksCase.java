import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;

/**
 * One of five state hosts is down for a moment while another comes back with an empty disk. After all are back and have
 * caught up, two of the others lose their disks, as many as the deployment has to bear. The operator then reads the
 * configuration that was acknowledged before.
 */
final class LostDisksCase {
    private static final int STATE_HOSTS = 5;

    /** Bounds of the deployment: time to catch up, undisturbed time that counts as contact, and time to recover. */
    private static final int CATCH_UP_MS = 4_000;
    private static final int CONTACT_MS = 5_000;
    private static final int RECOVERY_MS = 12_000;
    private static final int DOWN_MS = 3_500;
    private static final int WIPED_DOWN_MS = 1_000;
    private static final int READ_MS = 15_000;

    private final Site site;
    private final Record record;

    private LostDisksCase(Site site, Record record) {
        this.site = site;
        this.record = record;
    }

    public static void main(String[] arguments) throws Exception {
        String trouble = System.getenv().getOrDefault("TROUBLE", "1");
        Path root = Path.of(arguments[0]);
        try (Record record = new Record(Path.of(arguments[1])); Site site = new Site(root, STATE_HOSTS)) {
            int exitCode = new LostDisksCase(site, record).run(!trouble.equals("0"), trouble.equals("1"));
            site.close();
            System.exit(exitCode);
        }
    }

    /** Runs the case; without {@code isFirstStep} only the two disks are lost, which the system has to bear as well. */
    private int run(boolean hasTrouble, boolean isFirstStep) throws Exception {
        List<String> hosts = site.stateHosts();
        site.startStateHosts();
        publish(1);
        Site.sleep(CONTACT_MS);
        publish(2);
        readEverywhere();
        if (hasTrouble && isFirstStep) {
            String dark = hosts.get(1);
            String wiped = hosts.get(2);
            record.write(dark + " is killed; it is down for " + DOWN_MS + " ms");
            site.kill(dark);
            long killedMs = Site.nowMs();
            loseDisks(List.of(wiped));
            Site.sleep(DOWN_MS - (Site.nowMs() - killedMs));
            record.write(dark + " is started again with its disk");
            site.restartStateHost(dark);
        }
        Site.sleep(CATCH_UP_MS + 2 * CONTACT_MS);
        record.write("all hosts have been back for " + (CATCH_UP_MS + 2 * CONTACT_MS) + " ms");
        readEverywhere();
        publish(3);
        if (hasTrouble) loseDisks(List.of(hosts.get(3), hosts.get(4)));
        Site.sleep(RECOVERY_MS);
        record.write("all hosts have been back for " + RECOVERY_MS + " ms");
        int exitCode = readBack();
        System.out.println(exitCode == 0 ? "version 3 is read back" : "version 3 is not read back");
        return exitCode;
    }

    private void publish(int version) throws IOException {
        site.post("/Config.Replace", "{\"version\":" + version + ",\"routes\":[],\"services\":[],\"limits\":{}}");
        record.write("version " + version + " is acknowledged");
    }

    private void loseDisks(List<String> hosts) throws IOException {
        for (String host : hosts) site.kill(host);
        for (String host : hosts) {
            site.wipe(host);
            record.write(host + " has lost its disk");
        }
        Site.sleep(WIPED_DOWN_MS);
        for (String host : hosts) {
            record.write(host + " is started again with an empty disk");
            site.restartStateHost(host);
        }
    }

    /** Reads the configuration at any host until one returns version 3. */
    private int readBack() {
        long endMs = Site.nowMs() + READ_MS;
        while (Site.nowMs() < endMs) {
            if (readEverywhere()) return 0;
            Site.sleep(500);
        }
        return 1;
    }

    private boolean readEverywhere() {
        boolean isNewest = false;
        for (String host : site.stateHosts()) {
            Http.Message response = site.read(host);
            String body = response == null ? "" : new String(response.body, StandardCharsets.UTF_8);
            String answer = response == null ? "no response" : response.status() + " "
                + (response.status() == 200 ? body.substring(0, Math.min(13, body.length())) : "");
            record.write("read at " + host + ": " + answer);
            isNewest |= response != null && response.status() == 200 && body.startsWith("{\"version\":3,");
        }
        return isNewest;
    }
}

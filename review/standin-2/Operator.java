import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** The operator: sends orders to any host that serves control, and follows a 307 twice. */
final class Operator {
    private static final int WAIT_MS = 1_000;
    private final List<InetSocketAddress> controls;
    private final Record record;

    Operator(List<InetSocketAddress> controls, Record record) {
        this.controls = controls;
        this.record = record;
    }

    /** Sends an order again and again until it is acknowledged; returns false if that takes longer than [maxMs]. */
    boolean order(String method, String path, String body, long maxMs) {
        int[] next = {0};
        return Time.await(maxMs, () -> {
            Http.Message response = send(controls.get(next[0]++ % controls.size()), method, path, body);
            boolean isAcknowledged = response != null && response.status() / 100 == 2;
            if (isAcknowledged) record.line("operator: " + method + " " + path + " acknowledged");
            return isAcknowledged;
        });
    }

    private Http.Message send(InetSocketAddress to, String method, String path, String body) {
        InetSocketAddress target = to;
        Http.Message response = null;
        for (int redirects = 0; redirects <= 2; redirects++) {
            response = Http.exchange(
                target, method + " " + path + " HTTP/1.1",
                "Host: control\r\nContent-Type: application/json\r\nConnection: close\r\n",
                body.getBytes(StandardCharsets.UTF_8), WAIT_MS);
            if (response == null || response.status() != 307) return response;
            URI location = URI.create(response.header("Location"));
            target = new InetSocketAddress(location.getHost(), location.getPort());
        }
        return response;
    }

    /** Returns a configuration with one service and one route to it. */
    static String document(int version, String kind, int timeoutMs, int attempts, String extra) {
        return "{\"version\":" + version + ",\"routes\":[{\"name\":\"r1\",\"hostname\":\"office.example\",\"path_prefix\":\"/a/\","
            + "\"kind\":\"" + kind + "\",\"timeout_ms\":" + timeoutMs + ",\"target_latency_ms\":500,\"priority\":0,"
            + "\"service\":\"bulletin\",\"max_attempts\":" + attempts + extra + "}],"
            + "\"services\":[{\"name\":\"bulletin\",\"health_path\":\"/health\",\"max_connections\":110,\"protocol\":\"h1\","
            + "\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0}],"
            + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
            + "\"idle_timeout_ms\":15000}}";
    }
}

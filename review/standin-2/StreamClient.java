import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.TreeSet;

/** One stream as its client sees it, over all its client attempts. */
final class StreamClient {
    /** How a client attempt ended. */
    enum End { WHOLE, BROKEN_OFF, REFUSED, NO_CONNECTION }

    private static final int CONNECT_MS = 1_000;

    final String id;
    final Set<String> versions = new TreeSet<>();
    volatile int lastEventId;
    volatile int events;
    private final Record record;
    private final int deadlineMs;
    private final int gapMs;
    private int attempts;

    /** The client waits for [deadlineMs], and gives a stream up after a gap of [gapMs]. */
    StreamClient(Record record, String id, int deadlineMs, int gapMs) {
        this.record = record;
        this.id = id;
        this.deadlineMs = deadlineMs;
        this.gapMs = gapMs;
    }

    /** Begins the stream, or takes it up after the last event that has arrived. */
    End read(InetSocketAddress front) {
        String attempt = attempts++ == 0 ? id : id + "." + attempts;
        String resume = lastEventId == 0 ? "" : "Last-Event-Id: " + lastEventId + "\r\nResumes: " + id + "\r\n";
        int before = events;
        boolean isConnected = false;
        try (Socket socket = new Socket()) {
            socket.connect(front, CONNECT_MS);
            isConnected = true;
            socket.setSoTimeout(gapMs);
            String headers = "Host: office.example\r\nX-Arbutusrelay-Attempt-Id: " + attempt
                + "\r\nX-Arbutusrelay-Deadline-Ms: " + deadlineMs + "\r\n" + resume;
            byte[] body = "dossier".getBytes(StandardCharsets.UTF_8);
            socket.getOutputStream().write(Http.message("POST /a/draft HTTP/1.1", headers, body));
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            Http.Message head = Http.readHead(in);
            if (head == null) throw new IOException("closed without an answer");
            record.line("client " + attempt + ": " + head.firstLine() + (resume.isEmpty() ? "" : ", after event " + lastEventId));
            if (head.status() != 200) return End.REFUSED;
            readEvents(in);
            record.line("client " + attempt + ": whole, " + (events - before) + " events");
            return End.WHOLE;
        } catch (IOException e) {
            record.line("client " + attempt + ": ended after " + (events - before) + " events: " + e.getMessage());
            return isConnected ? End.BROKEN_OFF : End.NO_CONNECTION;
        }
    }

    private void readEvents(BufferedInputStream in) throws IOException {
        while (true) {
            String event = new String(Http.readChunk(in), StandardCharsets.UTF_8);
            if (event.isEmpty()) return;
            for (String line : event.split("\n")) {
                if (line.startsWith("id: ")) {
                    lastEventId = Integer.parseInt(line.substring(4));
                    events++;
                }
                if (line.startsWith("data: ")) versions.add(line.split(" ")[1]);
            }
        }
    }
}

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The file {@code record.txt} of a case: what was sent, answered and run, with times since the start. */
final class Record implements AutoCloseable {
    private final PrintWriter writer;
    private final long startMs = Site.nowMs();

    Record(Path folder) throws IOException {
        writer = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")));
    }

    synchronized void write(String line) {
        writer.println((Site.nowMs() - startMs) + " ms  " + line);
        writer.flush();
    }

    @Override
    public void close() {
        writer.close();
    }
}

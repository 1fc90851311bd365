import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run to `record.txt`; each line begins with the seconds since the start. */
final class Record implements AutoCloseable {
    private final long startNs = System.nanoTime();
    private final PrintWriter out;

    Record(Path folder) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")));
    }

    synchronized void line(String text) {
        out.println(String.format(Locale.ROOT, "%8.3f %s", seconds(), text));
        out.flush();
    }

    double seconds() {
        return (System.nanoTime() - startNs) / 1e9;
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}

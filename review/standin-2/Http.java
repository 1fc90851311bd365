import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads and writes HTTP/1.1 messages on sockets. */
final class Http {
    /** A request or a response: its first line, its headers with names in lower case, and its body. */
    record Message(String firstLine, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }

        String path() {
            return firstLine.split(" ")[1];
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    private Http() {}

    /** Returns the next message, or null at the end of the connection. */
    static Message read(InputStream in) throws IOException {
        String first = readLine(in);
        if (first == null) return null;
        Map<String, String> headers = readHeaders(in);
        return new Message(first, headers, readBody(in, headers, first));
    }

    /** Returns the first line and the headers of the next message without its body, or null at the end. */
    static Message readHead(InputStream in) throws IOException {
        String first = readLine(in);
        return first == null ? null : new Message(first, readHeaders(in), new byte[0]);
    }

    private static Map<String, String> readHeaders(InputStream in) throws IOException {
        Map<String, String> headers = new LinkedHashMap<>();
        while (true) {
            String line = readLine(in);
            if (line == null) throw new EOFException("the connection ended in a head");
            if (line.isEmpty()) return headers;
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
    }

    private static byte[] readBody(InputStream in, Map<String, String> headers, String first) throws IOException {
        if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                byte[] chunk = readChunk(in);
                if (chunk.length == 0) return body.toByteArray();
                body.write(chunk);
            }
        }
        String length = headers.get("content-length");
        if (length == null) return first.startsWith("HTTP/") ? in.readAllBytes() : new byte[0];
        byte[] body = in.readNBytes(Integer.parseInt(length));
        if (body.length < Integer.parseInt(length)) throw new EOFException("the connection ended in a body");
        return body;
    }

    /** Returns the next chunk of a body; an empty one ends it. */
    static byte[] readChunk(InputStream in) throws IOException {
        String size = readLine(in);
        if (size == null) throw new EOFException("the connection ended in a body");
        byte[] chunk = in.readNBytes(Integer.parseInt(size.trim(), 16));
        if (readLine(in) == null) throw new EOFException("the connection ended in a body");
        return chunk;
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int next = in.read();
            if (next < 0) {
                if (line.size() == 0) return null;
                throw new EOFException("the connection ended in a line");
            }
            if (next == '\n') break;
            if (next != '\r') line.write(next);
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Returns the bytes of a message with [headers], one to a line, and a body with its length. */
    static byte[] message(String firstLine, String headers, byte[] body) {
        String head = firstLine + "\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n";
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(head.getBytes(StandardCharsets.ISO_8859_1));
        out.writeBytes(body);
        return out.toByteArray();
    }

    /** Sends one request on a connection of its own and returns the response; null if there was none in time. */
    static Message exchange(InetSocketAddress to, String firstLine, String headers, byte[] body, int timeoutMs) {
        try (Socket socket = new Socket()) {
            socket.connect(to, Math.min(timeoutMs, 1_000));
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(timeoutMs);
            socket.getOutputStream().write(message(firstLine, headers, body));
            return read(new BufferedInputStream(socket.getInputStream()));
        } catch (IOException e) {
            return null;
        }
    }
}

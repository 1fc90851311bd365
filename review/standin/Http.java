import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** A small HTTP/1.1 reader and writer for the stand-ins. */
final class Http {
    private Http() {}

    /** A request or a response: the first line, the headers with lower-case names, and the body. */
    static final class Message {
        final String startLine;
        final Map<String, String> headers;
        final byte[] body;

        Message(String startLine, Map<String, String> headers, byte[] body) {
            this.startLine = startLine;
            this.headers = headers;
            this.body = body;
        }

        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }

        String path() {
            return startLine.split(" ")[1];
        }

        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }
    }

    /** Reads one message; returns null if the connection ends before its first byte. */
    static Message read(InputStream input) throws IOException {
        String startLine = readLine(input);
        if (startLine == null) return null;
        Map<String, String> headers = new LinkedHashMap<>();
        while (true) {
            String line = readLine(input);
            if (line == null) throw new IOException("the connection ended inside a head");
            if (line.isEmpty()) break;
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        return new Message(startLine, headers, readBody(input, headers, startLine.startsWith("HTTP/")));
    }

    private static byte[] readBody(InputStream input, Map<String, String> headers, boolean isResponse) throws IOException {
        if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                String sizeLine = readLine(input);
                if (sizeLine == null) throw new IOException("the connection ended inside a body");
                int size = Integer.parseInt(sizeLine.split(";")[0].trim(), 16);
                body.write(readFully(input, size));
                readLine(input);
                if (size == 0) return body.toByteArray();
            }
        }
        String length = headers.get("content-length");
        if (length != null) return readFully(input, Integer.parseInt(length));
        // A response without length and chunks ends with its connection.
        return isResponse ? input.readAllBytes() : new byte[0];
    }

    private static byte[] readFully(InputStream input, int size) throws IOException {
        byte[] bytes = input.readNBytes(size);
        if (bytes.length < size) throw new IOException("the connection ended inside a body");
        return bytes;
    }

    private static String readLine(InputStream input) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int next = input.read();
            if (next < 0) {
                if (line.size() == 0) return null;
                throw new IOException("the connection ended inside a line");
            }
            if (next == '\n') break;
            if (next != '\r') line.write(next);
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    static void write(Socket socket, String head, byte[] body) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.write(head.getBytes(StandardCharsets.ISO_8859_1));
        bytes.write(body);
        socket.getOutputStream().write(bytes.toByteArray());
        socket.getOutputStream().flush();
    }

    static Socket connect(String address, int connectMs, int readMs) throws IOException {
        int colon = address.lastIndexOf(':');
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        InetAddress ip = InetAddress.getByName(address.substring(0, colon));
        socket.connect(new InetSocketAddress(ip, Integer.parseInt(address.substring(colon + 1))), connectMs);
        socket.setSoTimeout(readMs);
        return socket;
    }

    /** Sends one request on a new connection and follows up to two redirects, as callers of the control API do. */
    static Message call(String address, String method, String path, String body, int timeoutMs) throws IOException {
        String target = address;
        for (int redirects = 0; ; redirects++) {
            try (Socket socket = connect(target, timeoutMs, timeoutMs)) {
                byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
                String head = method + " " + path + " HTTP/1.1\r\nHost: " + target
                    + "\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: " + bytes.length
                    + "\r\n\r\n";
                write(socket, head, bytes);
                Message response = read(new BufferedInputStream(socket.getInputStream()));
                if (response == null) throw new IOException("no response");
                if (response.status() != 307 || redirects == 2) return response;
                String location = response.header("Location").substring("http://".length());
                target = location.substring(0, location.indexOf('/'));
            }
        }
    }
}

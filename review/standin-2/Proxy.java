import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Passes on connections to another address; while it is cut, it passes on nothing and closes nothing. */
final class Proxy implements AutoCloseable {
    private final ServerSocket listener = new ServerSocket();
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private final InetSocketAddress target;
    private volatile boolean isCut;
    private volatile boolean isClosed;

    Proxy(InetSocketAddress address, InetSocketAddress target) throws IOException {
        this.target = target;
        listener.bind(address, 512);
        thread(this::accept);
    }

    void cut() {
        isCut = true;
    }

    /** Passes on new connections; those from before or during the cut are reset. */
    void heal() {
        isCut = false;
        sockets.forEach(Proxy::close);
        sockets.clear();
    }

    private static void thread(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (!isClosed) {
            try {
                Socket from = listener.accept();
                sockets.add(from);
                if (isCut) continue;
                Socket to = new Socket();
                to.connect(target, 1_000);
                sockets.add(to);
                thread(() -> pass(from, to));
                thread(() -> pass(to, from));
            } catch (IOException e) {
                Time.sleep(20);
            }
        }
    }

    private void pass(Socket from, Socket to) {
        byte[] buffer = new byte[16_384];
        try {
            from.setTcpNoDelay(true);
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            while (true) {
                int read = in.read(buffer);
                if (isCut) return;
                if (read < 0) break;
                out.write(buffer, 0, read);
            }
        } catch (IOException e) {
            if (isCut) return;
        }
        close(from);
        close(to);
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed by the peer already.
        }
    }

    @Override
    public void close() throws IOException {
        isClosed = true;
        listener.close();
        sockets.forEach(Proxy::close);
    }
}

import java.io.PrintWriter;
import java.nio.file.Path;

/** Writes record.txt: what was sent, answered and run, with seconds since the start. */
final class Record {
    private static PrintWriter out;
    private static long start;

    static synchronized void open(Path file) throws Exception {
        out = new PrintWriter(file.toFile());
        start = System.nanoTime();
    }

    static double now() { return (System.nanoTime() - start) / 1e9; }

    static synchronized void line(String format, Object... args) {
        if (out == null) return;
        out.printf("%8.3f  ", now());
        out.println(args.length == 0 ? format : String.format(format, args));
        out.flush();
    }
}

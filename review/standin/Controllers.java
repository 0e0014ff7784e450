import java.io.File;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Starts the project's controllers as separate processes with the command of the deploy file. */
final class Controllers {
    final String[] names, zones;
    final int[] serve, peer;
    final Process[] processes;
    final boolean[] killed;
    final Path dir;
    private final List<String> command;
    private final File root;

    Controllers(Path root, String prefix, String[] zones) throws Exception {
        this.root = root.toFile();
        this.zones = zones;
        int n = zones.length;
        names = new String[n];
        serve = new int[n];
        peer = new int[n];
        processes = new Process[n];
        killed = new boolean[n];
        dir = Files.createTempDirectory("flaxfield-review");
        for (int i = 0; i < n; i++) { names[i] = prefix + "-" + i; serve[i] = freePort(); peer[i] = freePort(); }
        String run = null;
        for (String line : Files.readAllLines(root.resolve("deploy/service.toml"))) {
            if (line.startsWith("run = ")) run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        }
        if (run == null) throw new IllegalStateException("deploy/service.toml has no run");
        command = Arrays.asList(run.trim().split(" +"));
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    }

    static int freePort() throws Exception { try (ServerSocket s = new ServerSocket(0, 1, Http.LOOPBACK)) { return s.getLocalPort(); } }

    /** Writes the settings of a node; deployment is the JSON of that table. */
    void settings(int i, String state, String cloud, String deployment) throws Exception {
        StringBuilder others = new StringBuilder();
        for (int j = 0; j < names.length; j++) {
            if (j == i) continue;
            others.append(others.length() == 0 ? "" : ",").append(String.format("{\"node_name\":\"%s\",\"zone\":\"%s\",\"peer_addr\":\"127.0.0.1:%d\"}", names[j], zones[j], peer[j]));
        }
        String text = String.format("{\"node_name\":\"%s\",\"zone\":\"%s\",\"serve_on\":\"127.0.0.1:%d\",\"internal_addr\":\"127.0.0.1:%d\",\"others\":[%s],\"external\":{\"cloud\":\"%s\",\"state\":\"%s\"},\"deployment\":%s}",
            names[i], zones[i], serve[i], peer[i], others, cloud, state, deployment);
        Files.writeString(dir.resolve(names[i] + ".json"), text);
    }

    void start(int i) throws Exception {
        List<String> c = new ArrayList<>(command);
        c.add(dir.resolve(names[i] + ".json").toString());
        ProcessBuilder b = new ProcessBuilder(c).directory(root);
        b.environment().put("LOG_LEVEL", "info");
        b.redirectOutput(ProcessBuilder.Redirect.DISCARD);
        b.redirectError(ProcessBuilder.Redirect.appendTo(dir.resolve(names[i] + ".log").toFile()));
        processes[i] = b.start();
        killed[i] = false;
        Record.line("%s: process %d started", names[i], processes[i].pid());
    }

    void kill(int i) throws Exception {
        killed[i] = true;
        processes[i].destroyForcibly().waitFor(5, TimeUnit.SECONDS);
        Record.line("%s: killed", names[i]);
    }

    void signal(int i, String name) throws Exception {
        new ProcessBuilder("kill", "-" + name, Long.toString(processes[i].pid())).inheritIO().start().waitFor();
        Record.line("%s: signal %s", names[i], name);
    }

    String address(int i) { return "127.0.0.1:" + serve[i]; }

    boolean ready(int i) {
        Http.Client c = new Http.Client(address(i));
        Http.Response r = c.send("GET", "/ready", null, 1000);
        c.close();
        return r != null && r.status == 200;
    }

    /** The last lines of a node's log. */
    List<String> log(int i, int lines) throws Exception {
        Path p = dir.resolve(names[i] + ".log");
        if (!Files.exists(p)) return List.of();
        List<String> all = Files.readAllLines(p, java.nio.charset.StandardCharsets.ISO_8859_1);
        return all.subList(Math.max(0, all.size() - lines), all.size());
    }

    void killAll() {
        for (Process p : processes) if (p != null) p.destroyForcibly();
        for (Process p : processes) {
            try { if (p != null) p.waitFor(5, TimeUnit.SECONDS); } catch (InterruptedException e) { return; }
        }
        if (System.getenv("KEEP_LOGS") != null) { System.err.println("logs: " + dir); return; }
        File[] files = dir.toFile().listFiles();
        if (files != null) for (File f : files) f.delete();
        dir.toFile().delete();
    }
}

import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** One deployment on loopback: three controller processes, the state service, the cloud, the workers and the users. */
final class Site {
    /** The figures of a deployment. The defaults are those of firma-andina. */
    static final class Figures {
        double rps = 150;
        double writeRps = 30;
        double valueKb = 32;
        int txnOps = 24;
        double reportS = 2;
        double leaseS = 12;
        double gangWaitS = 45;
        double gangPeerS = 8;
        double cancelS = 42;
        double cpus = 48;
        double gpus = 8;
        double ramGb = 192;
        double bootS = 1.5;
        double lagS = 5;
        int ordinary = 9;
        int spot = 11;
        double restartS = 3;
        int memMb = 268;
        int fdLimit = 1500;
        String type = "cotopaxi";
        String[] zones = {"gye-rio", "quito-norte"};
        String[] controllerZones = {"quito-norte", "gye-rio", "quito-norte"};
        /** Name, guaranteed accelerators, limit on accelerators. */
        Object[][] teams = {{"firmas", 0.0, 0.0}};

        /** The figures of stimmpost-zentrale, with the larger of its two machine types. */
        static Figures stimmpost() {
            Figures figures = new Figures();
            figures.writeRps = 60;
            figures.valueKb = 16;
            figures.txnOps = 48;
            figures.reportS = 3;
            figures.leaseS = 18;
            figures.cancelS = 48;
            figures.lagS = 10;
            figures.memMb = 181;
            figures.fdLimit = 1200;
            figures.restartS = 5;
            figures.type = "gross";
            figures.cpus = 24;
            figures.gpus = 4;
            figures.ramGb = 144;
            figures.zones = new String[] {"bern-mitte", "lugano-see", "zh-nord"};
            figures.controllerZones = new String[] {"zh-nord", "bern-mitte", "lugano-see"};
            return figures;
        }
    }

    /** A job as a user knows it. */
    static final class Job {
        String id;
        Map<String, Object> body;
        int shards;
        boolean group;
        double vcpus;
        double accelerators;
        double ramGb;
        String bundle;
        double pullGb;
        double runS;
        double saveS;
        double saveEveryS;
        String owner;
        volatile long acceptedNs;
        volatile long cancelAskedNs;
        volatile long cancelToldNs;
        volatile String phase = "unknown";
        volatile long doneToldNs;
        volatile long firstStartNs;
        volatile int starts;
        final java.util.Set<Integer> done = ConcurrentHashMap.newKeySet();
        final java.util.Set<String> failedOn = ConcurrentHashMap.newKeySet();
        final Map<Integer, java.util.Set<String>> on = new ConcurrentHashMap<>();

        /** Whether no task is on any machine. */
        boolean nowhere() {
            return on.values().stream().allMatch(java.util.Set::isEmpty);
        }
    }

    final Figures figures;
    final State state;
    final Cloud cloud;
    final Map<String, Job> jobs = new ConcurrentHashMap<>();
    final Controller[] controllers = new Controller[3];
    final List<String> broken = new ArrayList<>();
    private final PrintWriter record;
    private final long startNs = System.nanoTime();
    final Path temporary;
    private final String[] command;
    volatile boolean stopping;

    /** The zone that is cut off from everything else; null if there is none. */
    volatile String cutZone;

    /** The arguments that follow the settings file. */
    java.util.function.Function<Controller, List<String>> moreArguments = controller -> List.of();

    /** Whether the network between two places is interrupted. The region, which has no zone, is null. */
    boolean interrupted(String from, String to) {
        String cut = cutZone;
        return cut != null && cut.equals(from) != cut.equals(to);
    }

    private int nextJob = 412;
    Balancer balancer;

    Site(Figures figures) throws IOException {
        this.figures = figures;
        record = new PrintWriter(new File(System.getProperty("record")), StandardCharsets.UTF_8);
        temporary = Path.of(System.getProperty("temporary"));
        String run = Files.readAllLines(Path.of("deploy/service.toml")).stream().filter(l -> l.startsWith("run ")).findFirst().get();
        command = run.substring(run.indexOf('"') + 1, run.lastIndexOf('"')).split(" ");
        state = new State(3, figures.rps, figures.writeRps, figures.valueKb, figures.txnOps);
        cloud = new Cloud(this);
        for (int i = 0; i < 3; i++) controllers[i] = new Controller(i);
        Runtime.getRuntime().addShutdownHook(new Thread(this::stop));
        Http.daemon(() -> {
            sleep(Long.getLong("limit", 116) * 1000);
            log("the case takes too long");
            end(false);
        });
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Waits until a condition holds, at most for some seconds; returns whether it does. */
    boolean await(double seconds, java.util.function.BooleanSupplier condition) {
        double untilS = now() + seconds;
        while (now() < untilS) {
            if (condition.getAsBoolean()) return true;
            sleep(50);
        }
        return condition.getAsBoolean();
    }

    double now() {
        return (System.nanoTime() - startNs) / 1e9;
    }

    void log(String format, Object... values) {
        String line = String.format("%8.3f ", now()) + String.format(format, values);
        synchronized (record) {
            record.println(line);
            record.flush();
        }
        if (Boolean.getBoolean("echo")) System.out.println(line);
    }

    void broken(String rule, String format, Object... values) {
        String line = rule + ": " + String.format(format, values);
        synchronized (broken) {
            if (broken.size() < 200) broken.add(line);
        }
        log("RULE BROKEN %s", line);
    }

    /** One controller: its ports, its settings and its process. */
    final class Controller {
        final int index;
        final String name;
        final String zone;
        final int servePort = freePort();
        final int peerPort = freePort();
        volatile Process process;
        volatile boolean wanted;
        volatile int ownEnds;

        Controller(int index) {
            this.index = index;
            name = "hof-" + index;
            zone = figures.controllerZones[index];
        }

        synchronized void start() throws IOException {
            wanted = true;
            List<String> words = new ArrayList<>(Arrays.asList(command));
            Path settings = temporary.resolve(name + ".json");
            Files.writeString(settings, settings(this));
            words.add(settings.toString());
            words.addAll(moreArguments.apply(this));
            ProcessBuilder builder = new ProcessBuilder(words);
            builder.environment().put("LOG_LEVEL", System.getProperty("level", "info"));
            builder.redirectOutput(ProcessBuilder.Redirect.DISCARD);
            builder.redirectError(ProcessBuilder.Redirect.appendTo(temporary.resolve(name + ".log").toFile()));
            Process started = builder.start();
            process = started;
            log("%s started, pid %d", name, started.pid());
            Http.daemon(() -> watch(started));
        }

        private void watch(Process started) {
            try {
                int status = started.waitFor();
                if (stopping || process != started || !wanted) return;
                ownEnds++;
                log("%s ended by itself with status %d; last lines: %s", name, status, lastLines());
                sleep((long) (figures.restartS * 1000));
                if (!stopping && wanted) start();
            } catch (InterruptedException | IOException e) {
                log("%s could not be watched: %s", name, e);
            }
        }

        String lastLines() {
            try {
                List<String> lines = Files.readAllLines(temporary.resolve(name + ".log"));
                return String.join(" | ", lines.subList(Math.max(0, lines.size() - 3), lines.size()));
            } catch (IOException e) {
                return e.toString();
            }
        }

        /** Kills the process as the pages say: with no signal that it could handle. */
        synchronized void kill() {
            wanted = false;
            Process running = process;
            if (running == null) return;
            running.destroyForcibly();
            try {
                running.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
            log("%s killed", name);
        }

        void signal(String signal) {
            try {
                new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
                log("%s gets signal %s", name, signal);
            } catch (IOException | InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }

        boolean ready() {
            if (interrupted(null, zone)) return false;
            Http.Response response = Http.once(servePort, "GET", "/ready", null, 1000);
            return response != null && response.status == 200;
        }
    }

    private static final java.util.Random PORTS = new java.util.Random();

    /** Returns a free port below those that systems give to outgoing connections. */
    static int freePort() {
        for (int i = 0; i < 1000; i++) {
            int port = 12_000 + PORTS.nextInt(18_000);
            try (ServerSocket socket = new ServerSocket(port, 1, java.net.InetAddress.getByName("127.0.0.1"))) {
                return port;
            } catch (IOException taken) {
                continue;
            }
        }
        throw new IllegalStateException("no free port");
    }

    private static String quoted(String text) {
        return '"' + text + '"';
    }

    private String settings(Controller self) throws IOException {
        int cloudPort = new Link(cloud.server.port(), () -> interrupted(self.zone, null)).port();
        int statePort = new Link(state.servers[self.index].port(), () -> interrupted(self.zone, null)).port();
        List<String> others = new ArrayList<>();
        for (Controller other : controllers) {
            if (other == self) continue;
            int port = new Link(other.peerPort, () -> interrupted(self.zone, other.zone)).port();
            others.add("{\"node_name\": " + quoted(other.name) + ", \"zone\": " + quoted(other.zone)
                + ", \"peer_addr\": \"127.0.0.1:" + port + "\"}");
        }
        List<String> zones = new ArrayList<>();
        for (String zone : figures.zones) zones.add(quoted(zone));
        List<String> teams = new ArrayList<>();
        for (Object[] team : figures.teams) {
            teams.add("{\"name\": \"" + team[0] + "\", \"cpus\": 0.0, \"cpus_max\": 0.0, \"gpus\": " + team[1]
                + ", \"gpus_max\": " + team[2] + "}");
        }
        return "{\"node_name\": " + quoted(self.name) + ", \"zone\": " + quoted(self.zone)
            + ", \"serve_on\": \"127.0.0.1:" + self.servePort + "\", \"internal_addr\": \"127.0.0.1:" + self.peerPort + "\""
            + ", \"others\": " + others
            + ", \"external\": {\"cloud\": \"127.0.0.1:" + cloudPort + "\", \"state\": \"127.0.0.1:"
            + statePort + "\"}"
            + ", \"deployment\": {\"size\": 3, \"zones\": " + zones + ", \"teams\": " + teams
            + ", \"objectives\": [{\"kind\": \"wait\", \"class\": \"forense\", \"within_s\": 60.0, \"share\": 0.9}]"
            + ", \"workers\": {\"report_s\": " + figures.reportS + ", \"lease_s\": " + figures.leaseS + ", \"gang_wait_s\": "
            + figures.gangWaitS + ", \"gang_peer_s\": " + figures.gangPeerS + ", \"cancel_s\": " + figures.cancelS + "}"
            + ", \"state\": {\"rps\": " + figures.rps + ", \"write_rps\": " + figures.writeRps + ", \"value_kb\": "
            + figures.valueKb + ", \"txn_ops\": " + figures.txnOps + "}"
            + ", \"cloud\": {\"rps\": 2.0, \"list_lag_s\": " + figures.lagS + "}"
            + ", \"quota\": {\"cpu_share\": 0.17, \"mem_mb\": " + figures.memMb + ".0, \"fd_limit\": " + figures.fdLimit + "}"
            + ", \"time_bound_ms\": 100.0}}";
    }

    /** Checks every half second that no task of a cancelled job goes on beyond the limit. */
    void watchCancellations() {
        Http.daemon(() -> {
            while (!stopping) {
                sleep(500);
                for (Job job : jobs.values()) {
                    if (job.cancelToldNs == 0 || System.nanoTime() - job.cancelToldNs < (figures.cancelS + 0.5) * 1e9) continue;
                    for (Map.Entry<Integer, java.util.Set<String>> on : job.on.entrySet()) {
                        if (!on.getValue().isEmpty()) broken("ran_cancelled", "%s/%d is on %s", job.id, on.getKey(), on.getValue());
                    }
                }
            }
        });
    }

    /** Starts all controllers and waits until each can take requests; false if one can't. */
    boolean start() throws IOException {
        for (Controller controller : controllers) controller.start();
        balancer = new Balancer(this);
        for (int i = 0; i < 150; i++) {
            if (balancer.healthy() == 3) return true;
            sleep(200);
        }
        log("not all controllers became ready");
        return false;
    }

    void stop() {
        stopping = true;
        for (Controller controller : controllers) {
            if (controller == null) continue;
            controller.wanted = false;
            if (controller.process != null) controller.process.destroyForcibly();
        }
        for (Controller controller : controllers) {
            try {
                if (controller != null && controller.process != null) controller.process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException ignored) {
                return;
            }
        }
    }

    /** The index of the controller that leads; -1 if there is none. */
    int leader() {
        String name = state.text("live/leader", "name");
        for (Controller controller : controllers) if (controller.name.equals(name)) return controller.index;
        return -1;
    }

    Job job(String jobclass, String owner, boolean group, String urgency, int shards, double vcpus, double accelerators,
            double ramGb, double runS) {
        Job job = new Job();
        synchronized (this) {
            job.id = String.format("job-%06d", nextJob++);
        }
        job.shards = shards;
        job.group = group;
        job.vcpus = vcpus;
        job.accelerators = accelerators;
        job.ramGb = ramGb;
        job.bundle = "img-07";
        job.pullGb = 0.3;
        job.runS = runS;
        job.owner = owner;
        job.body = Cbor.map("id", job.id, "jobclass", jobclass, "owner", owner, "shape", group ? "group" : "sweep", "urgency",
            urgency, "shards", shards, "vcpus", vcpus, "accelerators", accelerators, "ram_gb", ramGb, "bundle", job.bundle,
            "pull_gb", job.pullGb, "flavors", null, "site", null, "same_place", false, "scatter", false, "lendable", !group,
            "expect_s", runS, "snapshot_every_s", 0.0, "snapshot_s", 0.0, "due_s", null);
        return job;
    }

    /** Sends a user's request through the load balancer; returns null without an answer in time. */
    Http.Response ask(String method, String path, byte[] body, int timeoutMs) {
        int picked = balancer.pick();
        return picked < 0 ? null : Http.once(controllers[picked].servePort, method, path, body, timeoutMs);
    }

    /** Submits a job and repeats the request for up to 60 s; returns whether it was accepted. */
    boolean submit(Job job) {
        jobs.put(job.id, job);
        byte[] body = Cbor.encode(job.body);
        long untilNs = System.nanoTime() + 60_000_000_000L;
        while (System.nanoTime() < untilNs && !stopping) {
            Http.Response response = ask("POST", "/work", body, 5000);
            log("POST /work %s shape=%s shards=%d -> %s", job.id, job.body.get("shape"), job.shards, response == null ? "none" : response.status);
            if (response != null && (response.status == 200 || response.status == 201)) {
                job.acceptedNs = System.nanoTime();
                job.phase = "pending";
                return true;
            }
            if (response != null && (response.status == 400 || response.status == 422)) return false;
            sleep(1000);
        }
        return false;
    }

    /** Asks for a job once; returns its phase, "404", or null without an answer that counts. */
    String poll(Job job) {
        Http.Response response = ask("GET", "/work/" + job.id, null, 2000);
        if (response == null || response.status != 200 && response.status != 404) return null;
        if (response.status == 404) {
            if (job.acceptedNs != 0) broken("forgotten", "%s was accepted and gets 404", job.id);
            return "404";
        }
        Map<String, Object> map = response.map();
        String phase = (String) map.get("phase");
        if (!phase.equals(job.phase)) log("GET /work/%s -> %s", job.id, map);
        if (job.phase.equals("done") && !phase.equals("done") || job.phase.equals("aborted") && !phase.equals("aborted")) {
            broken("went_back", "%s was %s and is now %s", job.id, job.phase, phase);
        }
        if (phase.equals("done") && job.done.size() < job.shards) {
            broken("not_done", "%s is called done with %d of %d tasks done", job.id, job.done.size(), job.shards);
        }
        if (phase.equals("aborted") && job.cancelAskedNs == 0) broken("went_back", "%s was not cancelled and is called aborted", job.id);
        if (phase.equals("done") && job.doneToldNs == 0) job.doneToldNs = System.nanoTime();
        job.phase = phase;
        return phase;
    }

    boolean over(Job job) {
        return job.phase.equals("done") || job.phase.equals("aborted");
    }

    /** Asks for a job every few seconds until it is over. */
    void follow(Job job) {
        Http.daemon(() -> {
            while (!stopping && !over(job)) {
                poll(job);
                sleep(2000);
            }
        });
    }

    void cancel(Job job) {
        job.cancelAskedNs = System.nanoTime();
        while (!stopping) {
            Http.Response response = ask("POST", "/work/" + job.id + "/cancel", null, 5000);
            log("POST /work/%s/cancel -> %s", job.id, response == null ? "none" : response.status + " " + response.map());
            if (response != null && response.status == 200) {
                job.phase = (String) response.map().get("phase");
                if (job.phase.equals("aborted")) job.cancelToldNs = System.nanoTime();
                return;
            }
            sleep(1000);
        }
    }

    synchronized void started(Job job, int index, Worker worker) {
        java.util.Set<String> on = job.on.computeIfAbsent(index, k -> ConcurrentHashMap.newKeySet());
        if (!on.isEmpty()) broken("ran_twice", "%s/%d starts on %s while it is on %s", job.id, index, worker.host, on);
        on.add(worker.host);
        if (worker.lendable && !(Boolean) job.body.get("lendable")) broken("wrong_place", "%s/%d starts on a spot machine", job.id, index);
        if ((Boolean) job.body.get("same_place")) {
            for (Map.Entry<Integer, java.util.Set<String>> other : job.on.entrySet()) {
                for (String host : other.getValue()) {
                    Worker w = cloud.find(host);
                    if (w != null && !w.zone.equals(worker.zone)) broken("wrong_place", "%s/%d starts in %s, another task is in %s", job.id, index, worker.zone, w.zone);
                }
            }
        }
        job.starts++;
        if (job.firstStartNs == 0) job.firstStartNs = System.nanoTime();
        if (job.cancelToldNs != 0 && System.nanoTime() - job.cancelToldNs > figures.cancelS * 1e9) {
            broken("ran_cancelled", "%s/%d starts on %s", job.id, index, worker.host);
        }
        for (Object[] team : figures.teams) {
            double limit = (Double) team[2];
            if (!team[0].equals(job.owner) || limit <= 0) continue;
            double used = 0;
            for (Job other : jobs.values()) {
                if (!other.owner.equals(job.owner)) continue;
                for (java.util.Set<String> hosts : other.on.values()) used += other.accelerators * hosts.size();
            }
            if (used > limit + 1e-6) broken("quota", "%s uses %.2f of %.2f accelerators", job.owner, used, limit);
        }
    }

    synchronized void left(Job job, int index, Worker worker) {
        java.util.Set<String> on = job.on.get(index);
        if (on != null) on.remove(worker.host);
    }

    /** Prints the verdict and ends all processes. */
    void end(boolean couldRun) {
        Map<String, String> counts = new TreeMap<>();
        for (Job job : jobs.values()) counts.merge(job.phase, "1", (a, b) -> Integer.toString(Integer.parseInt(a) + 1));
        log("jobs by phase: %s; changes written: %d; requests refused by the state service's limits: %d", counts, state.written, state.refusedByRate);
        stop();
        int status = !couldRun ? 2 : broken.isEmpty() ? 0 : 1;
        log("exit status %d", status);
        System.out.println(couldRun ? (broken.isEmpty() ? "held" : "broken: " + broken.get(0)) : "the case could not run");
        Runtime.getRuntime().halt(status);
    }

}

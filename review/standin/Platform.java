import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** The cloud, its machines and their workers, as PROTOCOL-flaxfield.md describes them. */
final class Platform {
    /** A machine type as GET /flavors shows it. */
    record Flavor(String label, double cpus, double gpus, double ram, double cacheGb, double pullGbPerS, double price, double low, double readyS, List<String> sites) {}

    record Times(double reportS, double leaseS, double gangWaitS, double gangPeerS, double cancelS) {}

    /** A job as its user described it; workers fetch this description. */
    static final class Job {
        final String id; final boolean gang; final int tasks; final double cpus, gpus, ram, pullGb, runS, checkpointS, saveS; final String team;
        boolean fails;
        /** The run time of each task; null if all take as long as the owner's estimate. */
        double[] taskRunS;
        double runS(int index) { return taskRunS == null ? runS : taskRunS[index]; }
        String bundle = "img-07";
        Job(String id, boolean gang, int tasks, double cpus, double gpus, double ram, double pullGb, double runS, double checkpointS, double saveS, String team) {
            this.id = id; this.gang = gang; this.tasks = tasks; this.cpus = cpus; this.gpus = gpus; this.ram = ram;
            this.pullGb = pullGb; this.runS = runS; this.checkpointS = checkpointS; this.saveS = saveS; this.team = team;
        }
    }

    final class Task {
        final String name; final Job job; final int index; final long attempt;
        String phase = "pulling", cause; boolean kept, on;
        long since = System.nanoTime(), imageAt, savedAt;
        double progress;
        Task(String name, Job job, int index, long attempt) { this.name = name; this.job = job; this.index = index; this.attempt = attempt; }
        boolean ended() { return phase.equals("ended"); }
    }

    final class Machine {
        final String id; final Flavor flavor; final String site; final boolean lendable; final long rented = System.nanoTime();
        volatile boolean up, gone, cut, sick;
        Http.Server server;
        long tenure = 1, tally, epoch, leaseFrom, lastReport;
        boolean changed;
        final LinkedHashMap<String, Task> tasks = new LinkedHashMap<>();
        final java.util.Set<String> images = new java.util.HashSet<>();
        /** The images that are being fetched, with the time at which the fetch began. */
        final Map<String, Long> fetches = new HashMap<>();
        double pullGbPerS;
        Long takenAt;
        int node;
        Machine(String id, Flavor flavor, String site, boolean lendable) { this.id = id; this.flavor = flavor; this.site = site; this.lendable = lendable; this.pullGbPerS = flavor.pullGbPerS; }
    }

    /** One attempt of a gang: its tasks find one another by their attempt number. */
    final class Gang {
        final Job job; final long attempt; final Map<Integer, Task> members = new HashMap<>();
        boolean started, failed; long startedAt; Long haltedAt, failedAt; double base;
        Gang(Job job, long attempt) { this.job = job; this.attempt = attempt; }
        double progress(long now) { return base + ((haltedAt != null ? haltedAt : now) - startedAt) / 1e9; }
    }

    final Object lock = new Object();
    final Map<String, Gang> gangs = new HashMap<>();
    /** What each start of a gang attempt or its end looked like, for the cases to judge. */
    final List<String> gangEvents = java.util.Collections.synchronizedList(new ArrayList<>());
    java.util.function.ToDoubleFunction<Machine> pullRate = m -> m.flavor.pullGbPerS;

    final Map<String, Flavor> flavors = new LinkedHashMap<>();
    final Map<String, Integer> capacity = new HashMap<>();
    final Times times;
    final Map<String, Job> jobs = new ConcurrentHashMap<>();
    final Map<String, Double> saved = new ConcurrentHashMap<>();
    final java.util.Set<String> done = ConcurrentHashMap.newKeySet();
    final TreeMap<String, Machine> machines = new TreeMap<>();
    final Map<String, List<String>> hires = new HashMap<>();
    /** Where each task is at the moment, to find a task on two machines. */
    final Map<String, String> where = new ConcurrentHashMap<>();
    final Map<String, Long> cancelledAt = new ConcurrentHashMap<>();
    final List<String> violations = java.util.Collections.synchronizedList(new ArrayList<>());
    final Http.Server cloud;
    final Random random = new Random(7);
    List<String> nodeNames = new ArrayList<>();
    List<String> nodeAddresses = new ArrayList<>();
    double bootS = 1.5;
    int nextMachine = 0, starts = 0;
    boolean logTasks = true;

    Platform(Times times) throws Exception {
        this.times = times;
        cloud = new Http.Server(this::serveCloud);
        Http.daemon(this::run);
    }

    static String offer(String flavor, String site, boolean lendable) { return flavor + "/" + site + "/" + lendable; }

    // ---- cloud

    private synchronized Http.Response serveCloud(Http.Request r) throws Exception {
        Thread.sleep(5);
        if (r.path.equals("/flavors")) {
            List<Object> list = new ArrayList<>();
            for (Flavor f : flavors.values()) {
                Map<String, Object> m = new LinkedHashMap<>();
                m.put("label", f.label); m.put("vcpus", f.cpus); m.put("accelerators", f.gpus); m.put("ram_gb", f.ram);
                m.put("local_gb", f.cacheGb); m.put("pull_gb_per_s", f.pullGbPerS); m.put("rate", f.price); m.put("low_price", f.low);
                m.put("ready_s", f.readyS); m.put("sites", f.sites);
                list.add(m);
            }
            return Http.Response.of(200, Map.of("flavors", list));
        }
        if (r.path.equals("/machines") && r.method.equals("POST")) {
            Map<String, Object> b = Cbor.map(r.body);
            String hire = (String) b.get("hire");
            if (hires.containsKey(hire)) return Http.Response.of(200, Map.of("hosts", hires.get(hire)));
            String key = offer((String) b.get("flavor"), (String) b.get("site"), (Boolean) b.get("lendable"));
            int free = capacity.getOrDefault(key, 0);
            int n = Math.min(free, Math.min(50, ((Number) b.get("how_many")).intValue()));
            if (n <= 0) return Http.Response.of(503, Map.of("error", "no capacity"));
            capacity.put(key, free - n);
            List<String> names = new ArrayList<>();
            for (int i = 0; i < n; i++) {
                Machine m = new Machine(String.format("host-%06d", nextMachine++), flavors.get(b.get("flavor")), (String) b.get("site"), (Boolean) b.get("lendable"));
                m.pullGbPerS = pullRate.applyAsDouble(m);
                machines.put(m.id, m);
                names.add(m.id);
                Http.daemon(() -> boot(m));
            }
            hires.put(hire, names);
            Record.line("cloud: %s rents %d of %s", hire, n, key);
            return Http.Response.of(200, Map.of("hosts", names));
        }
        if (r.path.equals("/machines/return")) {
            for (Object o : (List<?>) Cbor.map(r.body).get("hosts")) {
                Machine m = machines.remove((String) o);
                if (m == null) continue;
                synchronized (lock) { m.gone = true; for (Task t : m.tasks.values()) leave(m, t); m.tasks.clear(); }
                if (m.server != null) m.server.socket.close();
                capacity.merge(offer(m.flavor.label, m.site, m.lendable), 1, Integer::sum);
                Record.line("cloud: %s returned", m.id);
            }
            return Http.Response.of(200, Map.of());
        }
        if (r.path.equals("/machines")) {
            String from = r.query.getOrDefault("from", "");
            int limit = Math.min(500, Integer.parseInt(r.query.getOrDefault("limit", "500")));
            List<Object> list = new ArrayList<>();
            boolean more = false;
            for (Machine m : machines.tailMap(from, false).values()) {
                if (list.size() >= limit) { more = true; break; }
                Map<String, Object> row = new LinkedHashMap<>();
                row.put("id", m.id); row.put("address", m.server == null ? "127.0.0.1:1" : m.server.address()); row.put("flavor", m.flavor.label);
                row.put("site", m.site); row.put("lendable", m.lendable); row.put("phase", m.up ? "running" : "booting");
                row.put("held_s", (System.nanoTime() - m.rented) / 1e9);
                list.add(row);
            }
            return Http.Response.of(200, Map.of("hosts", list, "more", more));
        }
        return Http.Response.of(400, Map.of());
    }

    // ---- workers

    private void boot(Machine m) {
        try {
            Thread.sleep((long) (bootS * 1000 * (0.8 + 0.4 * random.nextDouble())));
            if (m.gone) return;
            m.server = new Http.Server(r -> serveWorker(m, r));
            m.node = random.nextInt(nodeAddresses.size());
            m.leaseFrom = System.nanoTime();
            m.up = true;
            report(m);
        } catch (InterruptedException e) {
            // ends with the process
        } catch (Exception e) {
            System.err.println("worker failed: " + e);
        }
    }

    private Http.Response serveWorker(Machine m, Http.Request r) {
        if (m.gone) return null;
        while (m.cut && !m.gone) sleep(50);
        synchronized (lock) {
            if (r.path.equals("/status")) return Http.Response.of(200, reportOf(m));
            Map<String, Object> b = Cbor.map(r.body);
            if (b.get("epoch") == null || b.get("tenure") == null) return Http.Response.of(400, Map.of());
            long epoch = ((Number) b.get("epoch")).longValue();
            if (epoch < m.epoch || ((Number) b.get("tenure")).longValue() != m.tenure) return Http.Response.of(409, reportOf(m));
            if (epoch > m.epoch) { m.epoch = epoch; m.changed = true; }
            execute(m, (List<?>) b.get("orders"), "/do");
            return Http.Response.of(200, reportOf(m));
        }
    }

    private Map<String, Object> reportOf(Machine m) {
        Map<String, Object> r = new LinkedHashMap<>();
        r.put("host", m.id); r.put("address", m.server.address()); r.put("flavor", m.flavor.label); r.put("site", m.site);
        r.put("lendable", m.lendable); r.put("tenure", m.tenure); r.put("tally", ++m.tally); r.put("epoch", m.epoch); r.put("warning_s", m.takenAt == null ? null : (Object) Math.max(0.0, (m.takenAt - System.nanoTime()) / 1e9));
        List<Object> list = new ArrayList<>();
        // In the order of their names: the pages ask for none.
        for (Task t : new TreeMap<>(m.tasks).values()) {
            Map<String, Object> row = new LinkedHashMap<>();
            row.put("shard", t.name); row.put("try", t.attempt); row.put("phase", t.phase);
            if (t.ended()) row.put("cause", t.cause);
            if (t.kept) row.put("kept", true);
            list.add(row);
        }
        r.put("shards", list);
        return r;
    }

    /** Sends reports until the machine is gone. */
    private void report(Machine m) throws InterruptedException {
        Http.Client client = null;
        int clientNode = -1;
        Random rnd = new Random(m.id.hashCode());
        double interval = times.reportS * (0.75 + 0.5 * rnd.nextDouble());
        while (!m.gone) {
            long now = System.nanoTime();
            double age = (now - m.lastReport) / 1e9;
            if (m.cut || !(age >= interval || m.changed && age >= 0.5)) { Thread.sleep(25); continue; }
            interval = times.reportS * (0.75 + 0.5 * rnd.nextDouble());
            byte[] body;
            long tenure;
            synchronized (lock) {
                expireLease(m);
                m.changed = false;
                m.lastReport = now = System.nanoTime();
                tenure = m.tenure;
                body = Cbor.encode(reportOf(m));
            }
            if (clientNode != m.node || client == null) {
                if (client != null) client.close();
                clientNode = m.node;
                client = new Http.Client(nodeAddresses.get(m.node));
            }
            Http.Response r = client.sendBytes("POST", "/hello", body, 4000);
            if (m.gone) break;
            if (m.cut) { client.close(); client = null; continue; }
            if (r != null && r.status == 200) {
                Map<String, Object> b = Cbor.map(r.body);
                synchronized (lock) {
                    expireLease(m);
                    Object epoch = b.get("epoch");
                    if (m.tenure != tenure || epoch == null || ((Number) epoch).longValue() < m.epoch) continue;
                    if (((Number) epoch).longValue() > m.epoch) { m.epoch = ((Number) epoch).longValue(); m.changed = true; }
                    m.leaseFrom = now;
                    execute(m, (List<?>) b.get("orders"), nodeNames.get(m.node));
                }
            } else if (r != null && r.status == 421) {
                Object steward = r.body.length == 0 ? null : Cbor.map(r.body).get("steward");
                int next = steward == null ? -1 : nodeNames.indexOf(steward);
                client.close();
                client = null;
                if (next >= 0 && next != m.node) { m.node = next; m.changed = true; Thread.sleep(rnd.nextInt(300)); m.lastReport = 0; }
                else { m.node = (m.node + 1) % nodeAddresses.size(); Thread.sleep(1000); m.lastReport = 0; }
            } else {
                m.node = (m.node + 1) % nodeAddresses.size();
                if (client != null) client.close();
                client = null;
                Thread.sleep(1000);
                m.lastReport = 0;
            }
        }
        if (client != null) client.close();
    }

    private void expireLease(Machine m) {
        if ((System.nanoTime() - m.leaseFrom) / 1e9 <= times.leaseS) return;
        if (!m.tasks.isEmpty()) Record.line("%s: lease expired, %d tasks killed", m.id, m.tasks.size());
        for (Task t : m.tasks.values()) leave(m, t);
        m.tasks.clear();
        m.tenure++;
        m.changed = true;
        m.leaseFrom = System.nanoTime();
    }

    private void execute(Machine m, List<?> orders, String from) {
        if (orders == null) return;
        for (Object o : orders) {
            Map<?, ?> order = (Map<?, ?>) o;
            String verb = (String) order.get("verb"), name = (String) order.get("shard");
            long attempt = ((Number) order.get("try")).longValue();
            String key = name + "#" + attempt;
            Task t = m.tasks.get(key);
            switch (verb) {
                case "launch": if (t == null) launch(m, name, attempt, from); break;
                case "halt": if (t != null && !t.ended()) halt(m, t, ((Number) order.get("wind_down_s")).doubleValue(), from); break;
                case "clear": if (t != null && t.ended()) m.tasks.remove(key); break;
                default: break;
            }
        }
    }

    private void launch(Machine m, String name, long attempt, String from) {
        int slash = name.indexOf('/');
        Job job = jobs.get(name.substring(0, slash));
        Task t = new Task(name, job, Integer.parseInt(name.substring(slash + 1)), attempt);
        m.tasks.put(name + "#" + attempt, t);
        m.changed = true;
        if (job == null) { end(m, t, "unknown"); return; }
        double cpus = 0, gpus = 0, ram = 0;
        for (Task other : m.tasks.values()) {
            if (other == t || other.ended()) continue;
            if (other.name.equals(name)) { end(m, t, "in_use"); return; }
            cpus += other.job.cpus; gpus += other.job.gpus; ram += other.job.ram;
        }
        if (cpus + job.cpus > m.flavor.cpus + 1e-6 || gpus + job.gpus > m.flavor.gpus + 1e-6 || ram + job.ram > m.flavor.ram + 1e-6) { end(m, t, "no_room"); return; }
        if (logTasks) Record.line("%s: launch %s try %d by %s", m.id, name, attempt, from);
    }

    private void halt(Machine m, Task t, double windDownS, String from) {
        if (logTasks) Record.line("%s: halt %s try %d in phase %s by %s", m.id, t.name, t.attempt, t.phase, from);
        Gang g = gangs.get(t.job.id + "#" + t.attempt);
        if (t.phase.equals("running") && t.job.checkpointS > 0 && windDownS >= t.job.saveS) {
            if (g != null && g.haltedAt == null) g.haltedAt = System.nanoTime();
            t.phase = "saving";
            t.since = System.nanoTime();
            m.changed = true;
        } else if (t.phase.equals("saving") && windDownS > 0) {
            return;
        } else end(m, t, "stopped");
    }

    private void end(Machine m, Task t, String cause) {
        leave(m, t);
        t.phase = "ended";
        t.cause = cause;
        m.changed = true;
        if (cause.equals("done")) done.add(t.name);
        if (logTasks) Record.line("%s: %s try %d ended: %s", m.id, t.name, t.attempt, cause);
    }

    /** The task has its image: from now on it is on the machine. */
    private void arrive(Machine m, Task t) {
        t.on = true;
        starts++;
        String other = where.put(t.name, m.id);
        if (other != null && !other.equals(m.id)) violation("ran_twice: " + t.name + " starts on " + m.id + " while it is on " + other);
        Long at = cancelledAt.get(t.job.id);
        if (at != null && (System.nanoTime() - at) / 1e9 > times.cancelS) violation("ran_cancelled: " + t.name + " starts on " + m.id);
    }

    private void leave(Machine m, Task t) {
        if (t.on) where.remove(t.name, m.id);
        t.on = false;
        Gang g = t.job == null ? null : gangs.get(t.job.id + "#" + t.attempt);
        if (g == null || g.members.get(t.index) != t) return;
        g.members.remove(t.index);
        if (g.started && g.failedAt == null && g.haltedAt == null && !done.contains(t.name)) {
            g.failedAt = System.nanoTime();
            // Progress since the last checkpoint is lost.
            if (t.job.checkpointS > 0) saved.merge(t.job.id, Math.floor(g.progress(g.failedAt) / t.job.checkpointS) * t.job.checkpointS, Math::max);
        }
    }

    void violation(String text) {
        violations.add(text);
        Record.line("RULE BROKEN %s", text);
    }

    static void sleep(long ms) {
        try { Thread.sleep(ms); } catch (InterruptedException e) { /* ends with the process */ }
    }

    private void run() {
        while (true) {
            try { Thread.sleep(40); } catch (InterruptedException e) { return; }
            List<Machine> all;
            synchronized (this) { all = new ArrayList<>(machines.values()); }
            long now = System.nanoTime();
            for (Machine m : all) if (m.up && !m.gone) synchronized (lock) { advance(m, now); }
        }
    }

    private void advance(Machine m, long now) {
        if (m.takenAt != null && now >= m.takenAt) { die(m, "taken by the cloud"); return; }
        expireLease(m);
        // A fetch that no task waits for is given up.
        m.fetches.keySet().removeIf(image -> {
            for (Task t : m.tasks.values()) if (t.phase.equals("pulling") && t.job.bundle.equals(image)) return false;
            Record.line("%s: fetch of %s given up after %.1f s", m.id, image, (now - m.fetches.get(image)) / 1e9);
            return true;
        });
        for (Task t : new ArrayList<>(m.tasks.values())) {
            double s = (now - t.since) / 1e9;
            Gang g = gangs.get(t.job == null ? "" : t.job.id + "#" + t.attempt);
            switch (t.phase) {
                case "pulling":
                    if (!m.images.contains(t.job.bundle)) {
                        Long from = m.fetches.putIfAbsent(t.job.bundle, now);
                        if (from == null) { if (logTasks) Record.line("%s: fetch of %s, %.1f GB at %.2f GB/s, begins", m.id, t.job.bundle, t.job.pullGb, m.pullGbPerS); break; }
                        if ((now - from) / 1e9 < t.job.pullGb / m.pullGbPerS) break;
                        m.images.add(t.job.bundle);
                        m.fetches.remove(t.job.bundle);
                        if (logTasks) Record.line("%s: has %s", m.id, t.job.bundle);
                    }
                    t.since = now;
                    m.changed = true;
                    arrive(m, t);
                    if (done.contains(t.name)) { t.phase = "running"; end(m, t, "done"); break; }
                    if (t.job.fails || m.sick) { t.phase = "running"; end(m, t, "error"); break; }
                    if (!t.job.gang) { t.phase = "running"; if (logTasks) Record.line("%s: %s try %d runs", m.id, t.name, t.attempt); break; }
                    t.phase = "gathering";
                    if (logTasks) Record.line("%s: %s try %d waits for its gang", m.id, t.name, t.attempt);
                    g = gangs.computeIfAbsent(t.job.id + "#" + t.attempt, k -> new Gang(t.job, t.attempt));
                    g.members.put(t.index, t);
                    if (!g.started && g.members.size() == t.job.tasks) {
                        g.started = true;
                        g.startedAt = now;
                        g.base = saved.getOrDefault(t.job.id, 0.0);
                        for (Task x : g.members.values()) { x.phase = "running"; x.since = now; }
                        gangEvents.add("started " + t.job.id + " " + t.attempt);
                        Record.line("gang %s try %d runs from progress %.0f s", t.job.id, t.attempt, g.base);
                    }
                    break;
                case "gathering":
                    if (s > times.gangWaitS) { gangEvents.add("incomplete " + t.job.id + " " + t.attempt); end(m, t, "incomplete"); }
                    break;
                case "running":
                    if (!t.job.gang) {
                        if (s + saved.getOrDefault(t.name, 0.0) >= t.job.runS(t.index)) end(m, t, "done");
                        break;
                    }
                    if (g == null) break;
                    if (g.failedAt != null && now - g.failedAt > times.gangPeerS * 0.5e9) { end(m, t, "mates_gone"); break; }
                    if (g.haltedAt != null && now - g.haltedAt > times.gangPeerS * 1e9) { end(m, t, "mates_gone"); break; }
                    if (g.haltedAt == null && g.failedAt == null && g.progress(now) >= t.job.runS) {
                        for (int i = 0; i < t.job.tasks; i++) done.add(t.job.id + "/" + i);
                        gangEvents.add("done " + t.job.id + " " + t.attempt);
                    }
                    if (done.contains(t.name)) end(m, t, "done");
                    break;
                case "saving":
                    if (s < t.job.saveS) break;
                    if (g != null) {
                        boolean all = true;
                        for (Task x : g.members.values()) all &= x.phase.equals("saving") || x.kept;
                        if (!all && now - g.haltedAt <= times.gangPeerS * 1e9) break;
                        if (!all) { end(m, t, "mates_gone"); break; }
                        saved.merge(t.job.id, g.progress(now), Math::max);
                    }
                    t.kept = true;
                    end(m, t, "stopped");
                    break;
                default: break;
            }
        }
    }

    /** The machine loses the network: it sends and answers nothing; its tasks go on until its lease ends. */
    void cut(Machine m, boolean on) {
        m.cut = on;
        Record.line("%s: %s", m.id, on ? "loses the network" : "has the network again");
    }

    /** The cloud announces that it takes a spot machine back. */
    void notice(Machine m, double seconds) {
        synchronized (lock) { m.takenAt = System.nanoTime() + (long) (seconds * 1e9); m.changed = true; }
        Record.line("%s: notice, taken in %.0f s", m.id, seconds);
    }

    /** The machine and all that is on it is gone. */
    void die(Machine m, String why) {
        synchronized (lock) {
            m.gone = true;
            for (Task t : m.tasks.values()) leave(m, t);
            m.tasks.clear();
        }
        Http.daemon(() -> {
            synchronized (this) { if (machines.remove(m.id) != null) capacity.merge(offer(m.flavor.label, m.site, m.lendable), 1, Integer::sum); }
            try { m.server.socket.close(); } catch (Exception e) { /* closed already */ }
        });
        Record.line("%s: gone, %s", m.id, why);
    }

    /** The number of tasks of a job that are on machines now. */
    int running(String job) {
        int n = 0;
        List<Machine> all;
        synchronized (this) { all = new ArrayList<>(machines.values()); }
        for (Machine m : all) synchronized (lock) { for (Task t : m.tasks.values()) if (t.on && t.job.id.equals(job)) n++; }
        return n;
    }
}

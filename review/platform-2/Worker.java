import java.io.IOException;
import java.math.BigInteger;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/** One machine with its worker. */
final class Worker {
    private static final class Task {
        final Site.Job job;
        final int index;
        final long attempt;
        String phase = "pulling";
        String cause;
        boolean kept;
        boolean onMachine;
        boolean fails;
        double pullLeftS;
        double leftS;
        double waitedS;
        double matesGoneS = -1;
        double saveLeftS;
        Gang gang;

        Task(Site.Job job, int index, long attempt) {
            this.job = job;
            this.index = index;
            this.attempt = attempt;
        }

        boolean live() {
            return !phase.equals("ended");
        }
    }

    /** The tasks of one attempt of a gang, on all machines. */
    private static final class Gang {
        final Map<Integer, Worker> present = new HashMap<>();
        boolean started;
        boolean complete;
        boolean lost;
        double leftS;
        long checkedNs;
        double hungS;

        /** Advances the whole gang: a machine that hangs stops it, and is noticed after a while. */
        void advance(double peerS) {
            long nowNs = System.nanoTime();
            if (nowNs - checkedNs < 50_000_000L) return;
            double stepS = (nowNs - checkedNs) / 1e9;
            checkedNs = nowNs;
            if (new HashSet<>(present.values()).stream().anyMatch(worker -> worker.hung)) {
                hungS += stepS;
                if (hungS > peerS / 2) lost = true;
            } else {
                hungS = 0;
                leftS -= stepS;
            }
        }
    }

    private static final Map<String, Gang> GANGS = new HashMap<>();
    private static final double STEP_S = 0.1;

    private final Site site;
    final String host;
    final String zone;
    final boolean lendable;
    private final Http.Server server;
    private final long hiredNs = System.nanoTime();
    private final Random random;
    private final Map<String, Task> tasks = new LinkedHashMap<>();
    private final Set<String> images = new HashSet<>();
    private long tenure = 1;
    private long tally = 0;
    private long epoch = 0;
    private long renewedNs;
    private boolean changed = true;
    private volatile boolean up;
    private volatile boolean terminated;
    volatile boolean hung;

    /** Whether the machine fails every task that it starts. */
    volatile boolean sick;
    volatile int largestReport;
    volatile int largestResponse;
    volatile int leasesLost;
    volatile boolean cutFromControllers;
    volatile double copies;
    volatile double lateCommands;
    private long lastReportNs;
    private int node;

    Worker(Site site, String host, String zone, boolean lendable) {
        this.site = site;
        this.host = host;
        this.zone = zone;
        this.lendable = lendable;
        random = new Random(host.hashCode());
        node = random.nextInt(3);
        try {
            server = new Http.Server(this::serve);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        Http.daemon(this::live);
    }

    String address() {
        return "127.0.0.1:" + server.port();
    }

    boolean isUp() {
        return up;
    }

    double ageS() {
        return (System.nanoTime() - hiredNs) / 1e9;
    }

    /** Returns the number of tasks that have not ended. */
    synchronized int size() {
        return (int) tasks.values().stream().filter(Task::live).count();
    }

    synchronized boolean has(Site.Job job) {
        return tasks.values().stream().anyMatch(task -> task.job == job && task.live());
    }

    synchronized boolean isEmpty() {
        return tasks.values().stream().noneMatch(Task::live);
    }

    private void live() {
        Site.sleep((long) (site.figures.bootS * 1000 * (0.7 + 0.6 * random.nextDouble())));
        if (terminated) return;
        synchronized (this) {
            up = true;
            renewedNs = System.nanoTime();
        }
        Http.daemon(this::reports);
        long beforeNs = System.nanoTime();
        while (!terminated) {
            Site.sleep((long) (STEP_S * 1000));
            long nowNs = System.nanoTime();
            double stepS = (nowNs - beforeNs) / 1e9;
            beforeNs = nowNs;
            synchronized (GANGS) {
                synchronized (this) {
                    if (hung) continue;
                    checkLease();
                    for (Task task : new ArrayList<>(tasks.values())) advance(task, stepS);
                }
            }
        }
    }

    private void checkLease() {
        if (System.nanoTime() - renewedNs <= site.figures.leaseS * 1e9) return;
        site.log("%s: the lease of session %d ends with %d tasks", host, tenure, tasks.size());
        if (tasks.values().stream().anyMatch(Task::live)) leasesLost++;
        for (Task task : tasks.values()) leave(task);
        tasks.clear();
        tenure++;
        renewedNs = System.nanoTime();
        changed = true;
    }

    void terminate() {
        terminated = true;
        synchronized (GANGS) {
            synchronized (this) {
                for (Task task : tasks.values()) leave(task);
                tasks.clear();
            }
        }
        try {
            server.socket.close();
        } catch (IOException ignored) {
            // The port is free now.
        }
    }

    private void leave(Task task) {
        if (task.onMachine) site.left(task.job, task.index, this);
        task.onMachine = false;
        if (task.gang != null && task.live() && !task.gang.complete) {
            task.gang.present.remove(task.index);
            if (task.gang.started) task.gang.lost = true;
        }
    }

    private void end(Task task, String cause) {
        leave(task);
        task.phase = "ended";
        task.cause = cause;
        changed = true;
        if (cause.equals("error") || cause.equals("no_room") || cause.equals("in_use") || cause.equals("unknown")) {
            site.log("%s: %s/%d try %d ends: %s", host, task.job.id, task.index, task.attempt, cause);
        }
    }

    private void complete(Task task) {
        if (task.job.done.add(task.index) && task.job.done.size() == task.job.shards) {
            site.log("%s: all tasks of %s are done", host, task.job.id);
        }
        end(task, "done");
    }

    private void advance(Task task, double stepS) {
        switch (task.phase) {
            case "pulling":
                task.pullLeftS -= stepS;
                if (task.pullLeftS <= 0) arrive(task);
                break;
            case "gathering":
                task.waitedS += stepS;
                if (task.gang.started && !task.gang.lost) {
                    task.phase = "running";
                    changed = true;
                } else if (task.waitedS > site.figures.gangWaitS) {
                    end(task, "incomplete");
                }
                break;
            case "running":
                run(task, stepS);
                break;
            case "saving":
                task.saveLeftS -= stepS;
                if (task.saveLeftS <= 0) {
                    task.kept = true;
                    end(task, "stopped");
                }
                break;
            default:
        }
    }

    private void arrive(Task task) {
        images.add(task.job.bundle);
        task.onMachine = true;
        site.started(task.job, task.index, this);
        changed = true;
        if (task.job.done.contains(task.index)) {
            end(task, "done");
            return;
        }
        task.fails = sick;
        task.leftS = sick ? 0.5 : task.job.runS;
        if (!task.job.group || task.job.shards == 1) {
            task.phase = "running";
            return;
        }
        task.phase = "gathering";
        task.gang = GANGS.computeIfAbsent(task.job.id + "#" + task.attempt, k -> new Gang());
        task.gang.present.put(task.index, this);
        if (!task.gang.started && task.gang.present.size() == task.job.shards) {
            task.gang.started = true;
            task.gang.checkedNs = System.nanoTime();
            task.gang.leftS = task.job.runS;
            site.log("%s try %d: all %d tasks run", task.job.id, task.attempt, task.job.shards);
        }
    }

    private void run(Task task, double stepS) {
        if (task.gang == null) {
            task.leftS -= stepS;
            if (task.leftS <= 0 && task.fails) {
                task.job.failedOn.add(host);
                end(task, "error");
            } else if (task.leftS <= 0) {
                complete(task);
            }
            return;
        }
        if (!task.gang.complete && !task.gang.lost) task.gang.advance(site.figures.gangPeerS);
        if (task.gang.complete) {
            end(task, "done");
        } else if (task.gang.lost) {
            if (task.matesGoneS < 0) task.matesGoneS = site.figures.gangPeerS / 2;
            task.matesGoneS -= stepS;
            if (task.matesGoneS <= 0) end(task, "mates_gone");
        } else if (task.gang.leftS <= 0) {
            task.gang.complete = true;
            // The tasks of a gang complete together.
            for (int index = 0; index < task.job.shards; index++) task.job.done.add(index);
            site.log("%s try %d: all tasks are done", task.job.id, task.attempt);
            end(task, "done");
        }
    }

    private static long number(Object value) {
        return value instanceof BigInteger ? ((BigInteger) value).longValue() : ((Number) value).longValue();
    }

    private void execute(Map<String, Object> message) {
        Object orders = message.get("orders");
        if (!(orders instanceof List)) return;
        for (Object item : (List<?>) orders) {
            Map<?, ?> order = (Map<?, ?>) item;
            String shard = (String) order.get("shard");
            long attempt = number(order.get("try"));
            Task task = tasks.get(shard + "#" + attempt);
            switch ((String) order.get("verb")) {
                case "launch":
                    if (task == null) launch(shard, attempt);
                    break;
                case "halt":
                    if (task != null) halt(task, ((Number) order.get("wind_down_s")).doubleValue());
                    break;
                case "clear":
                    if (task != null && !task.live()) tasks.remove(shard + "#" + attempt);
                    break;
                default:
            }
        }
    }

    private void launch(String shard, long attempt) {
        String id = shard.substring(0, shard.indexOf('/'));
        int index = Integer.parseInt(shard.substring(shard.indexOf('/') + 1));
        Site.Job job = site.jobs.get(id);
        if (job == null || index >= job.shards) {
            site.broken("invented", "%s is told to start the unknown task %s", host, shard);
            return;
        }
        Task task = new Task(job, index, attempt);
        double cpus = site.figures.cpus;
        double gpus = site.figures.gpus;
        double ramGb = site.figures.ramGb;
        boolean sameTask = false;
        for (Task other : tasks.values()) {
            if (!other.live()) continue;
            cpus -= other.job.vcpus;
            gpus -= other.job.accelerators;
            ramGb -= other.job.ramGb;
            if (other.job == job && other.index == index) sameTask = true;
        }
        tasks.put(shard + "#" + attempt, task);
        changed = true;
        if (sameTask) {
            end(task, "in_use");
        } else if (cpus + 1e-6 < job.vcpus || gpus + 1e-6 < job.accelerators || ramGb + 1e-6 < job.ramGb) {
            end(task, "no_room");
        } else {
            task.pullLeftS = images.contains(job.bundle) ? 0 : job.pullGb / 0.3;
        }
    }

    private void halt(Task task, double windDownS) {
        if (!task.live()) return;
        if (task.phase.equals("saving")) {
            if (windDownS == 0) end(task, "stopped");
        } else if (task.phase.equals("running") && task.gang == null && task.job.saveEveryS > 0 && windDownS >= task.job.saveS) {
            task.phase = "saving";
            task.saveLeftS = task.job.saveS;
            changed = true;
        } else {
            end(task, "stopped");
        }
    }

    private Map<String, Object> report() {
        List<Object> shards = new ArrayList<>(tasks.size());
        for (Task task : tasks.values()) {
            Map<String, Object> shard = Cbor.map("shard", task.job.id + "/" + task.index, "try", task.attempt, "phase", task.phase);
            if (task.cause != null) shard.put("cause", task.cause);
            if (task.kept) shard.put("kept", true);
            shards.add(shard);
        }
        return Cbor.map("host", host, "address", address(), "flavor", site.figures.type, "site", zone, "lendable", lendable,
            "tenure", tenure, "tally", ++tally, "epoch", epoch, "warning_s", null, "shards", shards);
    }

    /** Serves direct commands. */
    private Http.Response serve(Http.Request request) throws InterruptedException {
        if (Math.random() < lateCommands) Thread.sleep(2000 + (long) (14_000 * Math.random()));
        while ((hung || site.interrupted(zone, null)) && !terminated) Thread.sleep(50);
        if (!up || terminated) return null;
        synchronized (GANGS) {
            synchronized (this) {
                if (request.path.equals("/status")) return new Http.Response(200, report());
                Map<String, Object> message = Cbor.decode(request.body);
                if (message.get("epoch") == null || message.get("tenure") == null) return new Http.Response(400, Cbor.map());
                long token = number(message.get("epoch"));
                if (token < epoch || number(message.get("tenure")) != tenure) return new Http.Response(409, report());
                if (token > epoch) changed = true;
                epoch = token;
                execute(message);
                return new Http.Response(200, report());
            }
        }
    }

    private void reports() {
        Http.Client[] clients = new Http.Client[3];
        for (int i = 0; i < 3; i++) clients[i] = new Http.Client(site.controllers[i].servePort);
        long intervalNs = 0;
        while (!terminated) {
            Site.sleep(50);
            if (hung) continue;
            byte[] body;
            long sentTenure;
            long sentNs;
            synchronized (this) {
                long sinceNs = System.nanoTime() - lastReportNs;
                if (sinceNs < intervalNs && !(changed && sinceNs > 500_000_000L)) continue;
                changed = false;
                sentNs = System.nanoTime();
                lastReportNs = sentNs;
                intervalNs = (long) (site.figures.reportS * 1e9 * (0.75 + 0.5 * random.nextDouble()));
                sentTenure = tenure;
                Map<String, Object> report = report();
                largestReport = Math.max(largestReport, Cbor.jsonBytes(report));
                body = Cbor.encode(report);
            }
            if (random.nextDouble() < copies) {
                Http.daemon(() -> {
                    Site.sleep(2000 + (long) (16_000 * Math.random()));
                    for (Site.Controller c : site.controllers) Http.once(c.servePort, "POST", "/hello", body, 4000);
                });
            }
            boolean interrupted = site.interrupted(zone, site.controllers[node].zone);
            if (interrupted) Site.sleep(4000);
            Http.Response response = cutFromControllers || interrupted ? null : clients[node].send("POST", "/hello", body, 4000);
            if (terminated) return;
            int next = -1;
            if (response != null && response.status == 200) {
                synchronized (GANGS) {
                    synchronized (this) {
                        Map<String, Object> message = response.map();
                        largestResponse = Math.max(largestResponse, Cbor.jsonBytes(message));
                        Object token = message.get("epoch");
                        if (hung || token == null || number(token) < epoch || sentTenure != tenure) continue;
                        if (number(token) > epoch) changed = true;
                        epoch = number(token);
                        renewedNs = Math.max(renewedNs, sentNs);
                        execute(message);
                    }
                }
                continue;
            }
            if (response != null && response.status == 421) {
                Object steward = response.map().get("steward");
                for (Site.Controller controller : site.controllers) {
                    if (controller.name.equals(steward) && controller.index != node) next = controller.index;
                }
            } else if (response != null && response.status != 503) {
                site.log("%s: a report of %d bytes (%d in its JSON form) gets %d at %s", host, body.length, largestReport,
                    response.status, site.controllers[node].name);
            }
            clients[node].close();
            if (next < 0) {
                next = (node + 1) % 3;
                Site.sleep(1000);
            }
            node = next;
            synchronized (this) {
                lastReportNs = 0;
            }
        }
        for (Http.Client client : clients) client.close();
    }
}

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The cloud: rents machines of one type in two kinds, and takes them back. */
final class Cloud {
    private static final class Snapshot {
        final long atNs;
        final List<Map<String, Object>> hosts;

        Snapshot(long atNs, List<Map<String, Object>> hosts) {
            this.atNs = atNs;
            this.hosts = hosts;
        }
    }

    private final Site site;
    final Http.Server server;
    private final State.Rate rate = new State.Rate(2, 4);
    private final TreeMap<String, Worker> machines = new TreeMap<>();
    private final Map<String, Worker> all = new java.util.concurrent.ConcurrentHashMap<>();
    private final Map<String, List<Object>> hires = new HashMap<>();
    private final List<Snapshot> snapshots = new ArrayList<>();
    private int nextHost = 231;

    /** How many of the next machines fail every task that they start. */
    int sickMachines;

    Cloud(Site site) throws IOException {
        this.site = site;
        server = new Http.Server(this::serve);
        Http.daemon(() -> {
            while (true) {
                Site.sleep(500);
                snapshot();
            }
        });
    }

    private synchronized void snapshot() {
        List<Map<String, Object>> hosts = new ArrayList<>();
        for (Worker worker : machines.values()) {
            hosts.add(Cbor.map("id", worker.host, "address", worker.address(), "flavor", site.figures.type, "site", worker.zone,
                "lendable", worker.lendable, "phase", worker.isUp() ? "running" : "booting", "held_s", worker.ageS()));
        }
        snapshots.add(new Snapshot(System.nanoTime(), hosts));
        if (snapshots.size() > 400) snapshots.remove(0);
    }

    synchronized Collection<Worker> workers() {
        return new ArrayList<>(machines.values());
    }

    /** All machines that were ever rented. */
    Collection<Worker> known() {
        return new TreeMap<>(all).values();
    }

    Worker find(String host) {
        return all.get(host);
    }

    /** Takes a machine back without notice. */
    void take(Worker worker) {
        synchronized (this) {
            machines.remove(worker.host);
        }
        site.log("cloud takes back the spot machine %s without notice", worker.host);
        worker.terminate();
    }

    private Http.Response serve(Http.Request request) {
        Site.sleep(40);
        if (!rate.take(1)) return new Http.Response(429, Cbor.map());
        if (request.path.equals("/flavors")) return new Http.Response(200, Cbor.map("flavors", List.of(flavor())));
        if (request.path.equals("/machines")) return hire(Cbor.decode(request.body));
        if (request.path.equals("/machines/return")) return giveBack(Cbor.decode(request.body));
        return list(request.path);
    }

    private Map<String, Object> flavor() {
        Site.Figures f = site.figures;
        return Cbor.map("label", f.type, "vcpus", f.cpus, "accelerators", f.gpus, "ram_gb", f.ramGb, "local_gb", 90.0,
            "pull_gb_per_s", 0.3, "rate", 22.53, "low_price", 5.86, "ready_s", 25.0, "sites", List.of((Object[]) f.zones));
    }

    private synchronized Http.Response hire(Map<String, Object> body) {
        String name = (String) body.get("hire");
        if (hires.containsKey(name)) return new Http.Response(200, Cbor.map("hosts", hires.get(name)));
        String zone = (String) body.get("site");
        boolean lendable = (Boolean) body.get("lendable");
        long rented = machines.values().stream().filter(w -> w.zone.equals(zone) && w.lendable == lendable).count();
        long open = (lendable ? site.figures.spot : site.figures.ordinary) - rented;
        long count = Math.min(open, ((Number) body.get("how_many")).longValue());
        if (count <= 0) return new Http.Response(503, Cbor.map("error", "no capacity"));
        List<Object> hosts = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String host = String.format("host-%06d", nextHost++);
            machines.put(host, new Worker(site, host, zone, lendable));
            all.put(host, machines.get(host));
            machines.get(host).sick = sickMachines-- > 0;
            hosts.add(host);
        }
        hires.put(name, hosts);
        site.log("cloud rents %s in %s lendable=%s", hosts, zone, lendable);
        return new Http.Response(200, Cbor.map("hosts", hosts));
    }

    private Http.Response giveBack(Map<String, Object> body) {
        for (Object host : (List<?>) body.get("hosts")) {
            Worker worker;
            synchronized (this) {
                worker = machines.remove((String) host);
            }
            if (worker != null) worker.terminate();
        }
        site.log("cloud takes back %s", body.get("hosts"));
        return new Http.Response(200, Cbor.map());
    }

    private synchronized Http.Response list(String path) {
        String from = "";
        int limit = 500;
        for (String pair : path.substring(path.indexOf('?') + 1).split("&")) {
            if (pair.startsWith("from=")) from = pair.substring(5);
            if (pair.startsWith("limit=")) limit = Math.min(500, Integer.parseInt(pair.substring(6)));
        }
        List<Object> hosts = new ArrayList<>();
        boolean more = false;
        long atNs = System.nanoTime() - (long) (site.figures.lagS * 1e9);
        Snapshot seen = null;
        for (Snapshot snapshot : snapshots) if (snapshot.atNs <= atNs) seen = snapshot;
        if (seen != null) {
            for (Map<String, Object> host : seen.hosts) {
                if (((String) host.get("id")).compareTo(from) <= 0) continue;
                if (hosts.size() >= limit) more = true; else hosts.add(host);
            }
        }
        return new Http.Response(200, Cbor.map("hosts", hosts, "more", more));
    }
}

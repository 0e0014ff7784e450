import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/** The state service. Each controller has a port of its own, so that its access alone can be disturbed. */
final class State {
    private static final class Entry {
        Object value;
        long stamp;
        Long tether;
    }

    private static final class Change {
        final String key;
        final Object value;
        final long stamp;

        Change(String key, Object value, long stamp) {
            this.key = key;
            this.value = value;
            this.stamp = stamp;
        }
    }

    private static final class Lease {
        long ttlNs;
        long endNs;
        final TreeSet<String> keys = new TreeSet<>();
    }

    /** How one controller is served. */
    enum Access { OPEN, REFUSED, HELD }

    final int txnOps;
    final double valueKb;
    private final Rate requests;
    private final Rate writes;
    private final TreeMap<String, Entry> entries = new TreeMap<>();
    private final ArrayList<Change> log = new ArrayList<>();
    private final HashMap<Long, Lease> leases = new HashMap<>();
    private long firstKept = 0;
    private long ledger = 0;
    private long nextLease = 1;
    private final Access[] access;
    private boolean outage;
    final Http.Server[] servers;
    /** The share of transactions that are carried out at once without an answer, and late without an answer. */
    volatile double lostAnswers = 0;
    volatile double lateWrites = 0;
    private final java.util.Random random = new java.util.Random(7);
    long written = 0;
    long refusedByRate = 0;
    volatile long largestFollow = 0;

    State(int controllers, double rps, double writeRps, double valueKb, int txnOps) throws IOException {
        requests = new Rate(rps, rps);
        writes = new Rate(writeRps, writeRps);
        this.valueKb = valueKb;
        this.txnOps = txnOps;
        access = new Access[controllers];
        servers = new Http.Server[controllers];
        for (int i = 0; i < controllers; i++) {
            int controller = i;
            access[i] = Access.OPEN;
            servers[i] = new Http.Server(request -> serve(controller, request));
        }
        Http.daemon(() -> {
            while (true) {
                Site.sleep(50);
                synchronized (this) {
                    expire();
                }
            }
        });
    }

    synchronized void access(int controller, Access how) {
        access[controller] = how;
        notifyAll();
    }

    synchronized void outage(boolean on) {
        if (outage && !on) for (Lease lease : leases.values()) lease.endNs = System.nanoTime() + lease.ttlNs;
        outage = on;
        notifyAll();
    }

    private static Http.Response response(int status, Object... pairs) {
        return new Http.Response(status, Cbor.map(pairs));
    }

    private Http.Response serve(int controller, Http.Request request) throws InterruptedException {
        Thread.sleep(2);
        synchronized (this) {
            while (access[controller] == Access.HELD) wait(1000);
            if (outage || access[controller] == Access.REFUSED) return response(503);
            expire();
            if (!requests.take(1)) {
                refusedByRate++;
                return response(429);
            }
            String path = request.path;
            int mark = path.indexOf('?');
            Map<String, String> query = query(mark < 0 ? "" : path.substring(mark + 1));
            if (mark >= 0) path = path.substring(0, mark);
            if (path.equals("/txn")) {
                if (random.nextDouble() < lateWrites) {
                    Http.daemon(() -> {
                        Site.sleep(2000 + (long) (10_000 * Math.random()));
                        synchronized (this) {
                            expire();
                            txn(Cbor.decode(request.body));
                        }
                    });
                    return late();
                }
                Http.Response answer = txn(Cbor.decode(request.body));
                return random.nextDouble() < lostAnswers ? late() : answer;
            }
            if (path.equals("/leases")) return grant(Cbor.decode(request.body));
            if (path.endsWith("/extend")) return extend(Long.parseLong(path.split("/")[2]));
            if (path.startsWith("/leases/")) {
                Lease lease = leases.get(Long.parseLong(path.split("/")[2]));
                if (lease == null) return response(404);
                lease.endNs = System.nanoTime() - 1;
                expire();
                return response(200);
            }
            if (path.equals("/follow")) return follow(controller, query);
            if (path.equals("/keys")) return list(query);
            Entry entry = entries.get(path.substring("/keys/".length()));
            if (entry == null) return response(404, "ledger", ledger);
            return response(200, "k", path.substring("/keys/".length()), "value", entry.value, "stamp", entry.stamp,
                "tether", entry.tether);
        }
    }

    /** Leaves a request without an answer for longer than a controller waits. */
    private Http.Response late() throws InterruptedException {
        long endNs = System.nanoTime() + 5_000_000_000L;
        while (System.nanoTime() < endNs) wait(500);
        return null;
    }

    private static Map<String, String> query(String text) {
        Map<String, String> query = new HashMap<>();
        for (String pair : text.split("&")) {
            int equals = pair.indexOf('=');
            if (equals > 0) {
                query.put(pair.substring(0, equals),
                    java.net.URLDecoder.decode(pair.substring(equals + 1), java.nio.charset.StandardCharsets.UTF_8));
            }
        }
        return query;
    }

    private Http.Response list(Map<String, String> query) {
        String under = query.get("under");
        String from = query.get("from");
        int limit = Math.min(1000, query.containsKey("limit") ? Integer.parseInt(query.get("limit")) : 1000);
        List<Object> items = new ArrayList<>();
        int bytes = 0;
        boolean more = false;
        for (Map.Entry<String, Entry> e : (from == null ? entries.tailMap(under, true) : entries.tailMap(from, false)).entrySet()) {
            if (!e.getKey().startsWith(under)) break;
            Map<String, Object> item = Cbor.map("k", e.getKey(), "value", e.getValue().value, "stamp", e.getValue().stamp);
            int size = Cbor.jsonBytes(item);
            if (items.size() >= limit || bytes + size > 500 * 1024) {
                more = true;
                break;
            }
            bytes += size;
            items.add(item);
        }
        return response(200, "items", items, "more", more, "ledger", ledger);
    }

    @SuppressWarnings("unchecked")
    private Http.Response txn(Map<String, Object> body) {
        List<Map<String, Object>> when = (List<Map<String, Object>>) body.getOrDefault("when", List.of());
        List<Map<String, Object>> apply = (List<Map<String, Object>>) body.getOrDefault("apply", List.of());
        if (apply.size() > txnOps || when.size() > txnOps * 4 || Cbor.jsonBytes(body) > 64 * 1024) return response(400);
        for (Map<String, Object> change : apply) {
            if (change.containsKey("write") && Cbor.jsonBytes(change.get("value")) > valueKb * 1024) return response(400);
        }
        if (!writes.take(apply.size())) {
            refusedByRate++;
            return response(429);
        }
        for (Map<String, Object> change : apply) {
            Object tether = change.get("tether");
            if (tether != null && !leases.containsKey(((Number) tether).longValue())) return response(400, "error", "no such lease");
        }
        List<Object> failed = new ArrayList<>();
        for (Map<String, Object> condition : when) {
            Entry entry = entries.get((String) condition.get("k"));
            long stamp = entry == null ? 0 : entry.stamp;
            if (stamp != ((Number) condition.get("stamp")).longValue()) failed.add(condition.get("k"));
        }
        if (!failed.isEmpty()) return response(409, "failed", failed, "ledger", ledger);
        if (!apply.isEmpty()) {
            ledger++;
            for (Map<String, Object> change : apply) {
                String key = (String) (change.containsKey("write") ? change.get("write") : change.get("drop"));
                Object tether = change.get("tether");
                put(key, change.containsKey("write") ? change.get("value") : null, tether == null ? null : ((Number) tether).longValue());
            }
            written += apply.size();
            notifyAll();
        }
        return response(200, "ledger", ledger);
    }

    private void put(String key, Object value, Long tether) {
        Entry old = entries.remove(key);
        if (old != null && old.tether != null && leases.containsKey(old.tether)) leases.get(old.tether).keys.remove(key);
        if (value == null && old == null) return;
        if (value != null) {
            Entry entry = new Entry();
            entry.value = value;
            entry.stamp = ledger;
            entry.tether = tether;
            entries.put(key, entry);
            if (tether != null) leases.get(tether).keys.add(key);
        }
        log.add(new Change(key, value, ledger));
        if (log.size() > 12_000) {
            firstKept = log.get(1_999).stamp;
            log.subList(0, 2_000).clear();
        }
    }

    private Http.Response grant(Map<String, Object> body) {
        Lease lease = new Lease();
        lease.ttlNs = ((Number) body.get("ttl_ms")).longValue() * 1_000_000L;
        lease.endNs = System.nanoTime() + lease.ttlNs;
        leases.put(nextLease, lease);
        return response(200, "tether", nextLease++);
    }

    private Http.Response extend(long id) {
        Lease lease = leases.get(id);
        if (lease == null) return response(404);
        lease.endNs = System.nanoTime() + lease.ttlNs;
        return response(200);
    }

    private void expire() {
        if (outage) return;
        List<Long> ended = new ArrayList<>();
        for (Map.Entry<Long, Lease> e : leases.entrySet()) {
            if (System.nanoTime() > e.getValue().endNs + 20_000_000L) ended.add(e.getKey());
        }
        for (Long id : ended) {
            Lease lease = leases.get(id);
            if (!lease.keys.isEmpty()) ledger++;
            for (String key : new ArrayList<>(lease.keys)) put(key, null, null);
            leases.remove(id);
            notifyAll();
        }
    }

    private Http.Response follow(int controller, Map<String, String> query) throws InterruptedException {
        String under = query.get("under");
        long from = Long.parseLong(query.get("from"));
        long endNs = System.nanoTime() + Long.parseLong(query.getOrDefault("block_ms", "0")) * 1_000_000L;
        while (true) {
            if (from < firstKept) return response(410);
            boolean waits = outage || access[controller] != Access.OPEN;
            List<Object> news = waits ? List.of() : news(under, from);
            long leftMs = (endNs - System.nanoTime()) / 1_000_000L;
            if (!waits && (!news.isEmpty() || leftMs <= 0)) {
                Http.Response response = response(200, "ledger", ledger, "news", news);
                largestFollow = Math.max(largestFollow, response.body.length);
                return response;
            }
            wait(waits ? 1000 : Math.max(1, leftMs));
        }
    }

    private List<Object> news(String under, long from) {
        int first = log.size();
        while (first > 0 && log.get(first - 1).stamp > from) first--;
        List<Object> news = new ArrayList<>();
        for (Change change : log.subList(first, log.size())) {
            if (!change.key.startsWith(under)) continue;
            news.add(change.value == null ? Cbor.map("drop", change.key, "stamp", change.stamp)
                : Cbor.map("write", change.key, "value", change.value, "stamp", change.stamp));
        }
        return news;
    }

    /** Returns a text field of the record at a key; null if there is none. */
    synchronized String text(String key, String field) {
        Entry entry = entries.get(key);
        return entry == null ? null : (String) ((Map<?, ?>) entry.value).get(field);
    }

    /** A limit on requests or changes in each second, with bursts. */
    static final class Rate {
        private final double perSecond;
        private final double burst;
        private double tokens;
        private long atNs = System.nanoTime();

        Rate(double perSecond, double burst) {
            this.perSecond = perSecond;
            this.burst = burst;
            tokens = burst;
        }

        synchronized boolean take(int count) {
            long now = System.nanoTime();
            tokens = Math.min(burst, tokens + perSecond * (now - atNs) / 1e9);
            atNs = now;
            if (tokens < count) return false;
            tokens -= count;
            return true;
        }
    }
}

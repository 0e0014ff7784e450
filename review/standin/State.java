import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/** The state service of PROTOCOL-flaxfield.md. Each controller reaches it at a port of its own. */
final class State {
    private static final class Entry {
        final Object value; final long stamp; final Long lease;
        Entry(Object value, long stamp, Long lease) { this.value = value; this.stamp = stamp; this.lease = lease; }
    }

    private static final class Change {
        final String key; final byte[] encoded; final long stamp;
        Change(String key, byte[] encoded, long stamp) { this.key = key; this.encoded = encoded; this.stamp = stamp; }
    }

    private static final class Bucket {
        final double rate; double tokens; long at = System.nanoTime();
        Bucket(double rate) { this.rate = rate; tokens = rate; }
        boolean take(int n) {
            long now = System.nanoTime();
            tokens = Math.min(rate, tokens + rate * (now - at) / 1e9);
            at = now;
            if (tokens < n) return false;
            tokens -= n;
            return true;
        }
    }

    private static final class Lease { long ttlMs; long until; }

    private static final int KEPT_CHANGES = 10_000;

    volatile double valueKb; volatile int txnOps;
    private Bucket requests, writes;
    private final TreeMap<String, Entry> entries = new TreeMap<>();
    private final ArrayDeque<Change> log = new ArrayDeque<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private long ledger = 0, nextLease = 1, dropped = 0;
    private final boolean[] refused;
    final Http.Server[] servers;
    final long[] largestFollow;
    int refusedWrites = 0, tooLarge = 0;
    String lastTooLarge = "";
    long bytesChanged = 0, changes = 0;

    State(int nodes, double rps, double writeRps, double valueKb, int txnOps) throws Exception {
        this.valueKb = valueKb;
        this.txnOps = txnOps;
        requests = new Bucket(rps);
        writes = new Bucket(writeRps);
        refused = new boolean[nodes];
        largestFollow = new long[nodes];
        servers = new Http.Server[nodes];
        for (int i = 0; i < nodes; i++) {
            int node = i;
            servers[i] = new Http.Server(r -> serve(node, r));
        }
        Http.daemon(() -> {
            while (true) {
                try { Thread.sleep(20); } catch (InterruptedException e) { return; }
                expire();
            }
        });
    }

    /** The service refuses one controller with 503; its open watches wait. */
    synchronized void refuse(int node, boolean on) { refused[node] = on; notifyAll(); }

    /** The service lowers its limits; what is stored stays readable. */
    synchronized void limits(double valueKb, int txnOps, double writeRps) {
        this.valueKb = valueKb; this.txnOps = txnOps; writes = new Bucket(writeRps);
    }

    synchronized Object get(String key) { Entry e = entries.get(key); return e == null ? null : e.value; }

    synchronized long ledger() { return ledger; }

    synchronized List<String> keys(String prefix) {
        List<String> result = new ArrayList<>();
        for (String k : entries.tailMap(prefix).keySet()) { if (!k.startsWith(prefix)) break; result.add(k); }
        return result;
    }

    private Http.Response serve(int node, Http.Request r) throws Exception {
        synchronized (this) {
            if (refused[node]) return Http.Response.of(503, Map.of("error", "trouble"));
            if (!requests.take(1)) return Http.Response.of(429, Map.of());
        }
        if (r.path.equals("/txn")) return txn(Cbor.map(r.body));
        if (r.path.equals("/follow")) return follow(node, r);
        if (r.path.equals("/keys")) return list(r);
        if (r.path.startsWith("/keys/")) return read(r.path.substring(6));
        if (r.path.startsWith("/leases")) return lease(r);
        return Http.Response.of(400, Map.of());
    }

    private synchronized Http.Response read(String key) {
        Entry e = entries.get(key);
        if (e == null) return Http.Response.of(404, Map.of("ledger", ledger));
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("k", key); m.put("value", e.value); m.put("stamp", e.stamp);
        if (e.lease != null) m.put("tether", e.lease);
        return Http.Response.of(200, m);
    }

    private synchronized Http.Response list(Http.Request r) {
        String under = r.query.getOrDefault("under", ""), from = r.query.get("from");
        int limit = Math.min(1000, Integer.parseInt(r.query.getOrDefault("limit", "1000")));
        List<Object> items = new ArrayList<>();
        int size = 0;
        boolean more = false;
        for (Map.Entry<String, Entry> e : entries.tailMap(from == null ? under : from, from == null).entrySet()) {
            if (!e.getKey().startsWith(under)) break;
            Map<String, Object> m = new LinkedHashMap<>();
            m.put("k", e.getKey()); m.put("value", e.getValue().value); m.put("stamp", e.getValue().stamp);
            int bytes = Cbor.jsonSize(m) + 1;
            if (items.size() >= limit || size + bytes > 512 * 1024) { more = true; break; }
            size += bytes;
            items.add(m);
        }
        return Http.Response.of(200, Map.of("items", items, "more", more, "ledger", ledger));
    }

    @SuppressWarnings("unchecked")
    private synchronized Http.Response txn(Map<String, Object> t) {
        List<Map<String, Object>> when = (List<Map<String, Object>>) t.getOrDefault("when", List.of());
        List<Map<String, Object>> apply = (List<Map<String, Object>>) t.getOrDefault("apply", List.of());
        boolean large = apply.size() > txnOps || when.size() > 4 * txnOps || Cbor.jsonSize(t) > 64 * 1024;
        for (Map<String, Object> c : apply) large |= c.containsKey("write") && Cbor.jsonSize(c.get("value")) > valueKb * 1024;
        if (large) {
            tooLarge++;
            List<Object> keys = new ArrayList<>();
            for (Map<String, Object> c : apply) keys.add(c.containsKey("write") ? c.get("write") : c.get("drop"));
            lastTooLarge = keys.toString();
            return Http.Response.of(400, Map.of("error", "too large"));
        }
        if (!apply.isEmpty() && !writes.take(apply.size())) { refusedWrites++; return Http.Response.of(429, Map.of()); }
        for (Map<String, Object> c : apply) {
            Object tether = c.get("tether");
            if (tether != null && !leases.containsKey(((Number) tether).longValue())) {
                return Http.Response.of(400, Map.of("error", "no such lease"));
            }
        }
        List<Object> failed = new ArrayList<>();
        for (Map<String, Object> w : when) {
            Entry e = entries.get((String) w.get("k"));
            if ((e == null ? 0 : e.stamp) != ((Number) w.get("stamp")).longValue()) failed.add(w.get("k"));
        }
        if (!failed.isEmpty()) return Http.Response.of(409, Map.of("failed", failed, "ledger", ledger));
        if (!apply.isEmpty()) {
            ledger++;
            for (Map<String, Object> c : apply) {
                if (c.containsKey("write")) {
                    Object tether = c.get("tether");
                    put((String) c.get("write"), new Entry(c.get("value"), ledger, tether == null ? null : ((Number) tether).longValue()));
                } else drop((String) c.get("drop"));
            }
            notifyAll();
        }
        return Http.Response.of(200, Map.of("ledger", ledger));
    }

    private void put(String key, Entry e) {
        entries.put(key, e);
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("write", key); m.put("value", e.value); m.put("stamp", e.stamp);
        note(key, Cbor.encode(m));
    }

    private void drop(String key) {
        if (entries.remove(key) == null) return;
        note(key, Cbor.encode(Map.of("drop", key, "stamp", ledger)));
    }

    private void note(String key, byte[] encoded) {
        log.addLast(new Change(key, encoded, ledger));
        bytesChanged += encoded.length;
        changes++;
        while (log.size() > KEPT_CHANGES) dropped = log.removeFirst().stamp;
    }

    private synchronized Http.Response follow(int node, Http.Request r) throws InterruptedException {
        String under = r.query.getOrDefault("under", "");
        long from = Long.parseLong(r.query.get("from"));
        long until = System.nanoTime() + Math.min(60_000, Long.parseLong(r.query.getOrDefault("block_ms", "0"))) * 1_000_000L;
        while (true) {
            if (!refused[node]) {
                if (from < dropped) return Http.Response.of(410, Map.of());
                List<Object> news = new ArrayList<>();
                long size = 0;
                for (java.util.Iterator<Change> i = log.descendingIterator(); i.hasNext();) {
                    Change c = i.next();
                    if (c.stamp <= from) break;
                    if (!c.key.startsWith(under)) continue;
                    news.add(new Cbor.Encoded(c.encoded));
                    size += c.encoded.length;
                }
                long left = until - System.nanoTime();
                if (!news.isEmpty() || left <= 0) {
                    java.util.Collections.reverse(news);
                    largestFollow[node] = Math.max(largestFollow[node], size);
                    return Http.Response.of(200, Map.of("ledger", ledger, "news", news));
                }
                TimeUnit.NANOSECONDS.timedWait(this, Math.max(left, 1_000_000));
            } else wait(200);
        }
    }

    private synchronized Http.Response lease(Http.Request r) {
        long now = System.nanoTime();
        if (r.path.equals("/leases")) {
            Lease l = new Lease();
            l.ttlMs = ((Number) Cbor.map(r.body).get("ttl_ms")).longValue();
            l.until = now + l.ttlMs * 1_000_000L;
            leases.put(nextLease, l);
            return Http.Response.of(200, Map.of("tether", nextLease++));
        }
        long id = Long.parseLong(r.path.split("/")[2]);
        Lease l = leases.get(id);
        if (l == null) return Http.Response.of(404, Map.of());
        if (r.method.equals("DELETE")) { end(id); return Http.Response.of(200, Map.of()); }
        l.until = now + l.ttlMs * 1_000_000L;
        return Http.Response.of(200, Map.of());
    }

    private void end(long id) {
        leases.remove(id);
        List<String> keys = new ArrayList<>();
        for (Map.Entry<String, Entry> e : entries.entrySet()) if (e.getValue().lease != null && e.getValue().lease == id) keys.add(e.getKey());
        if (keys.isEmpty()) return;
        ledger++;
        for (String k : keys) drop(k);
        notifyAll();
    }

    private synchronized void expire() {
        long now = System.nanoTime();
        for (Long id : new ArrayList<>(leases.keySet())) if (now > leases.get(id).until) end(id);
    }
}

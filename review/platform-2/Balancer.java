import java.util.ArrayDeque;
import java.util.Arrays;

/** The load balancer in front of the controllers: probes each of them and picks a healthy one for each connection. */
final class Balancer {
    private static final class Node {
        boolean healthy;
        boolean wasHealthy;
        int successes;
        long removedNs;
        double pauseS = 3;
        final ArrayDeque<Boolean> last = new ArrayDeque<>();
        double connections;
    }

    private final Site site;
    private final Node[] nodes = new Node[3];

    Balancer(Site site) {
        this.site = site;
        for (int i = 0; i < 3; i++) {
            int index = i;
            nodes[i] = new Node();
            Http.daemon(() -> {
                while (true) {
                    probe(index);
                    Site.sleep(1000);
                }
            });
        }
    }

    private void probe(int index) {
        boolean success = site.controllers[index].ready();
        synchronized (this) {
            Node node = nodes[index];
            node.last.addLast(success);
            if (node.last.size() > 6) node.last.removeFirst();
            node.successes = success ? node.successes + 1 : 0;
            if (node.healthy) {
                Boolean[] last = node.last.toArray(new Boolean[0]);
                boolean twoInARow = last.length > 1 && !last[last.length - 1] && !last[last.length - 2];
                if (!twoInARow && Arrays.stream(last).filter(s -> !s).count() < 3) return;
                node.healthy = false;
                if (node.removedNs != 0 && System.nanoTime() - node.removedNs < 120e9) node.pauseS = Math.min(60, node.pauseS * 2);
                node.removedNs = System.nanoTime();
                site.log("balancer: %s is unhealthy", site.controllers[index].name);
            } else if (node.wasHealthy ? node.successes >= 2 && System.nanoTime() - node.removedNs > node.pauseS * 1e9 : success) {
                node.healthy = true;
                node.wasHealthy = true;
                node.last.clear();
                site.log("balancer: %s is healthy", site.controllers[index].name);
            }
        }
    }

    synchronized int healthy() {
        return (int) Arrays.stream(nodes).filter(node -> node.healthy).count();
    }

    /** Returns the index of the controller that gets the next connection; -1 if none is healthy. */
    synchronized int pick() {
        int best = -1;
        for (int i = 0; i < 3; i++) {
            if (nodes[i].healthy && (best < 0 || nodes[i].connections < nodes[best].connections)) best = i;
        }
        if (best >= 0) nodes[best].connections++;
        return best;
    }
}

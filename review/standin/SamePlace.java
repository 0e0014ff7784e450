import java.util.Map;

/** A gang of four that is bound to one zone loses a machine, and its zone has no further machine of that type. */
final class SamePlace extends Case {
    static final double WAIT_S = 90;

    SamePlace(String[] args) throws Exception {
        super(args, "hof", Sites.FIRMA_ZONES, Sites.FIRMA_FLEET, Sites.firmaFleetDeployment(), 350, 70, 32, 24);
    }

    public static void main(String[] args) throws Exception { new SamePlace(args).run(); }

    private void run() throws Exception {
        Sites.firmaMachines(platform);
        platform.bootS = 1.0;
        // Four ordinary machines are left in quito-norte, nine in gye-rio.
        platform.capacity.put(Platform.offer("cotopaxi", "quito-norte", false), 4);
        start();
        Platform.Job job = new Platform.Job("job-000412", true, 4, 43, 8, 150, 1.5, 100, 30, 2, "firmas");
        submit(Sites.submission(platform, job, "forense", "high", false, true, "img-07"));
        while (!platform.gangEvents.contains("started job-000412 1")) {
            if (Record.now() > 45) cannotRun("the gang has not started in time");
            Thread.sleep(100);
        }
        String zone = null;
        int rentedElsewhere = 0;
        if (trouble) {
            for (Platform.Machine m : machines()) {
                boolean used;
                synchronized (platform.lock) { used = !m.tasks.isEmpty(); }
                if (!used) continue;
                zone = m.site;
                // The machine is lost: the cloud does not have it any more.
                synchronized (platform) { platform.capacity.merge(Platform.offer("cotopaxi", zone, false), -1, Integer::sum); }
                platform.die(m, "the machine stops with all that is on it");
                break;
            }
        }
        double from = Record.now();
        double waitS = Double.parseDouble(System.getProperty("wait", "" + WAIT_S));
        double polled = 0;
        while (Record.now() < from + waitS) {
            Thread.sleep(100);
            if (Record.now() - polled >= 5) {
                polled = Record.now();
                String phase = poll(job.id);
                int idle = 0;
                for (Platform.Machine m : machines()) synchronized (platform.lock) { if (m.up && m.tasks.values().stream().allMatch(t -> t.ended())) idle++; }
                Record.line("%d of its tasks are on machines, %d machines are idle, the cloud has %s", platform.running(job.id), idle, platform.capacity);
                if (trouble && platform.gangEvents.stream().anyMatch(e -> e.startsWith("started job-000412 ") && !e.endsWith(" 1"))) break;
                if ("done".equals(phase)) break;
            }
        }
        logs("rental_", "gang_", "machines_returned", "machine_retired");
        boolean again = platform.gangEvents.stream().anyMatch(e -> e.startsWith("started job-000412 ") && !e.endsWith(" 1"));
        if (!trouble) {
            boolean runs = platform.running(job.id) == 4 || "done".equals(lastPhase);
            finish(runs ? 0 : 1, runs ? "the gang runs" : "the gang does not run");
        }
        if (!again) finish(1, String.format("RULE BROKEN: the accepted gang has not run for %.0f s after the loss of a machine in %s; the cloud has machines for it in the other zone: %s", waitS, zone, platform.capacity));
        finish(0, "the gang runs again");
    }
}

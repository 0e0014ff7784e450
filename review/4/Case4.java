import java.util.ArrayList;
import java.util.List;

/** Users cancel large gangs that run. Afterwards the controllers compute without end, and no job is started any more. */
final class Case4 {
    private static final int TASKS = 1700;
    private static final double LIMIT_S = 90;

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Site.Figures figures = new Site.Figures();
        figures.ordinary = 3;
        figures.spot = 5;
        figures.teams = new Object[][] {{"firmas", 0.0, 0.0}, {"unisur", 0.0, 0.0}};
        Site site = new Site(figures);
        if (!site.start()) site.end(false);
        List<Site.Job> gangs = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            Site.Job gang = site.job("nocturna", "unisur", true, "idle", TASKS, 0.056, 0.0, 0.05, 60.0);
            gang.body.put("lendable", true);
            gangs.add(gang);
            if (!site.submit(gang)) site.end(false);
            site.follow(gang);
        }
        if (!site.await(25, () -> gangs.stream().allMatch(gang -> gang.starts >= TASKS))) site.end(false);
        // Two jobs of another team wait for machines that are rented for them and boot.
        figures.bootS = 3.5;
        int machines = site.cloud.known().size();
        List<Site.Job> waiting = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            Site.Job job = site.job("forense", "firmas", true, "high", 1, 43.0, 8.0, 150.0, 10.0);
            waiting.add(job);
            if (!site.submit(job)) site.end(false);
            site.follow(job);
        }
        if (!site.await(10, () -> site.cloud.known().size() >= machines + 2)) site.end(false);
        if (trouble) cancel(site, gangs);
        double roomS = 0;
        double beforeS = site.now();
        while (site.now() < 112 && roomS < LIMIT_S + 1 && waiting.stream().anyMatch(job -> job.firstStartNs == 0)) {
            Site.sleep(250);
            double nowS = site.now();
            long idle = site.cloud.workers().stream().filter(w -> w.isUp() && w.isEmpty() && !w.lendable).count();
            roomS = idle > 0 ? roomS + nowS - beforeS : 0;
            if ((int) (nowS / 10) != (int) (beforeS / 10)) {
                site.log("idle ordinary machines: %d; healthy controllers: %d", idle, site.balancer.healthy());
            }
            beforeS = nowS;
        }
        for (Worker worker : site.cloud.known()) {
            site.log("%s: largest report %d bytes in its JSON form", worker.host, worker.largestReport);
        }
        for (Site.Job job : waiting) {
            if (job.firstStartNs == 0 && roomS > LIMIT_S) {
                site.broken("left waiting", "%s has not started for %.0f s with an idle machine that fits; %d controllers are healthy", job.id,
                    roomS, site.balancer.healthy());
            }
        }
        site.end(roomS > LIMIT_S || waiting.stream().allMatch(job -> job.firstStartNs != 0));
    }

    /** The users of the gangs cancel them, within a fifth of a second. */
    private static void cancel(Site site, List<Site.Job> gangs) throws InterruptedException {
        List<Thread> users = new ArrayList<>();
        for (Site.Job gang : gangs) users.add(Http.daemon(() -> site.cancel(gang)));
        for (Thread user : users) user.join(10_000);
    }
}

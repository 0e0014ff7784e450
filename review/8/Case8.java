/** A job whose tasks fail on eight sick machines at once waits long after the machines are well. */
final class Case8 {
    private static final double LIMIT_S = 90;
    private static final int SICK = 8;

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Site.Figures figures = new Site.Figures();
        figures.ordinary = 0;
        figures.spot = 10;
        Site site = new Site(figures);
        if (!site.start()) site.end(false);
        // These two jobs fill a sound machine. The first ends soon, the second keeps the machine in use.
        Site.Job first = site.job("relote", "firmas", false, "idle", 7, 5.0, 1.0, 18.0, 10.0);
        Site.Job second = site.job("relote", "firmas", false, "idle", 1, 5.0, 1.0, 18.0, 140.0);
        submit(site, first);
        submit(site, second);
        if (!site.await(20, () -> first.starts + second.starts >= 8) || site.cloud.known().size() != 1) site.end(false);
        Worker sound = site.cloud.known().iterator().next();
        if (trouble) site.cloud.sickMachines = SICK;
        Site.Job job = site.job("relote", "firmas", false, "idle", 64, 5.0, 1.0, 18.0, 20.0);
        job.body.put("lendable", true);
        submit(site, job);
        if (trouble) {
            if (!site.await(30, () -> job.failedOn.size() >= SICK && job.nowhere())) site.end(false);
            for (Worker worker : site.cloud.known()) worker.sick = false;
            site.log("the tasks of %s have failed on %d machines; all machines are well again", job.id, job.failedOn.size());
        }
        double waitedS = 0;
        double beforeS = site.now();
        while (site.now() < 114 && waitedS < LIMIT_S + 1 && !site.over(job)) {
            Site.sleep(250);
            double nowS = site.now();
            boolean waits = job.nowhere() && job.done.size() < job.shards && sound.isUp() && sound.size() == 1 && site.cloud.find(sound.host) == sound;
            waitedS = waits ? waitedS + nowS - beforeS : 0;
            if ((int) (nowS / 10) != (int) (beforeS / 10)) {
                site.log("%s has %d tasks; %s waits for %.0f s", sound.host, sound.size(), job.id, waitedS);
            }
            beforeS = nowS;
        }
        if (waitedS > LIMIT_S) {
            site.broken("left_waiting", "%s has had no task on any machine for %.0f s, while %s had room for seven of them", job.id, waitedS,
                sound.host);
        }
        site.end(true);
    }

    private static void submit(Site site, Site.Job job) {
        if (!site.submit(job)) site.end(false);
        site.follow(job);
    }
}

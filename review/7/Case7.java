/** A gang that needs more machines than a transaction may change. */
final class Case7 {
    private static final double WAIT_S = 90;

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Site.Figures figures = new Site.Figures();
        figures.ordinary = 7;
        figures.spot = 13;
        Site site = new Site(figures);
        if (!site.start()) site.end(false);
        Site.Job gang = site.job("forense", "firmas", true, "high", trouble ? 25 : 20, 43.0, 8.0, 150.0, 5.0);
        gang.body.put("lendable", true);
        if (!site.submit(gang)) site.end(false);
        site.follow(gang);
        double enoughS = 0;
        double beforeS = site.now();
        double untilS = site.now() + 103;
        while (site.now() < untilS && gang.firstStartNs == 0 && enoughS < WAIT_S + 1) {
            Site.sleep(250);
            long idle = site.cloud.workers().stream().filter(worker -> worker.isUp() && worker.isEmpty()).count();
            double nowS = site.now();
            enoughS = idle >= gang.shards ? enoughS + nowS - beforeS : 0;
            if ((int) (nowS / 10) != (int) (beforeS / 10)) site.log("idle machines: %d of %d that the gang needs", idle, gang.shards);
            beforeS = nowS;
        }
        if (gang.firstStartNs == 0 && enoughS > WAIT_S) {
            site.broken("An accepted job must run", "%s with %d tasks has not started while as many machines were idle for %.0f s", gang.id,
                gang.shards, enoughS);
        }
        site.end(gang.firstStartNs != 0 || enoughS > WAIT_S);
    }
}

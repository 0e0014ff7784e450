import java.util.ArrayList;
import java.util.List;

/** Gangs with so many tasks on one machine that the machine's reports exceed the limit of a request. */
final class Case6 {
    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Site.Figures figures = new Site.Figures();
        figures.ordinary = 1;
        figures.spot = 0;
        figures.teams = new Object[][] {{"firmas", 0.0, 0.0}, {"unisur", 0.0, 0.0}};
        Site site = new Site(figures);
        if (!site.start()) site.end(false);
        Site.Job others = site.job("relote", "firmas", false, "idle", 16, 1.0, 1.0, 4.0, 30.0);
        others.body.put("lendable", false);
        if (!site.submit(others)) site.end(false);
        site.follow(others);
        if (!site.await(25, () -> others.starts >= 16)) site.end(false);
        List<Site.Job> gangs = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            Site.Job gang = site.job("nocturna", "unisur", true, "idle", trouble ? 280 : 20, 0.02, 0.0, 0.01, 45.0);
            gangs.add(gang);
            if (!site.submit(gang)) site.end(false);
            site.follow(gang);
        }
        double untilS = site.now() + 85;
        while (site.now() < untilS && !(gangs.stream().allMatch(site::over) && site.over(others))) Site.sleep(250);
        int lost = 0;
        for (Worker worker : site.cloud.known()) {
            site.log("%s: largest report %d bytes and largest response %d bytes in their JSON form, leases that ran out with tasks: %d",
                worker.host, worker.largestReport, worker.largestResponse, worker.leasesLost);
            lost += worker.leasesLost;
        }
        long open = gangs.stream().filter(gang -> !site.over(gang)).count();
        site.log("gangs that are not over: %d of 12; the 16 tasks of the other job (%s) were started %d times", open, others.phase, others.starts);
        if (lost > 0 && (open > 0 || !site.over(others))) {
            site.broken("An accepted job must run", "%d of 12 gangs of 280 tasks that run for 45 s are not done after 85 s, on machines"
                + " that are sound: %d leases ran out since no controller accepts the machines' reports", open, lost);
        }
        site.end(lost > 0 || open == 0);
    }
}

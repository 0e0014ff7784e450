import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A zone with two machines is cut off from everything; are jobs that have finished inside it started again? No case, see REPORT-2.md.
 * Argument: "small" for the figures of firma-andina, or "fleet" for the times of firma-andina-fleet, from which the cut is.
 */
final class ZoneCut {
    private static final String ZONE = "gye-rio";
    private static final double CUT_S = 51.5;

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Site.Figures figures = new Site.Figures();
        if (arguments[0].equals("fleet")) {
            figures.reportS = 5;
            figures.leaseS = 26.5;
            figures.cancelS = 56.5;
        }
        figures.ordinary = 2;
        figures.spot = 0;
        Site site = new Site(figures);
        site.moreArguments = controller -> List.of("--fleet", fleetFile(site, controller));
        if (!site.start()) site.end(false);
        List<Site.Job> jobs = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            Site.Job job = site.job("forense", "firmas", true, "high", 1, 43.0, 8.0, 150.0, 12.0);
            jobs.add(job);
            if (!site.submit(job)) site.end(false);
            site.follow(job);
        }
        if (!site.await(25, () -> jobs.stream().allMatch(job -> job.starts > 0))) site.end(false);
        Site.sleep(1000);
        List<Site.Job> inside = new ArrayList<>();
        for (Worker worker : site.cloud.workers()) {
            for (Site.Job job : jobs) if (worker.zone.equals(ZONE) && worker.has(job)) inside.add(job);
        }
        site.log("jobs that run in %s: %d", ZONE, inside.size());
        if (inside.isEmpty() || inside.stream().anyMatch(job -> job.starts != 1)) site.end(false);
        if (trouble) {
            site.cutZone = ZONE;
            site.log("%s is cut off from everything", ZONE);
        }
        double fromS = site.now();
        while (site.now() - fromS < CUT_S + 20 && inside.stream().allMatch(job -> job.starts == 1)) {
            Site.sleep(250);
            if (site.cutZone != null && site.now() - fromS > CUT_S) {
                site.cutZone = null;
                site.log("%s is connected again", ZONE);
            }
            if (!trouble && inside.stream().allMatch(site::over)) break;
        }
        for (Site.Job job : inside) {
            site.log("%s: %d of 1 tasks done, %d starts, called %s", job.id, job.done.size(), job.starts, job.phase);
            if (job.starts > 1) site.broken("no_repeat", "%s of a class that forbids a repeat was started %d times", job.id, job.starts);
        }
        site.end(true);
    }

    /** Writes the fleet file of a controller: the class of the jobs forbids repeats, the rest is as in deploy/fleet.json. */
    private static String fleetFile(Site site, Site.Controller controller) {
        Path file = site.temporary.resolve(controller.name + "-fleet.json");
        try {
            Files.writeString(file, "{\"version\": 1, \"listen\": \"127.0.0.1:" + Site.freePort() + "\", \"default_budget\": {\"percent\": 10}, "
                + "\"default_repeat\": \"checkpointed\", \"classes\": {\"forense\": \"never\"}}");
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        return file.toString();
    }
}

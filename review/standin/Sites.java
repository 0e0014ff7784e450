import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The settings and machines of the deployments, as the site files and the brief give them. */
final class Sites {
    static final Platform.Times STIMMPOST = new Platform.Times(3, 18, 45, 4, 48);
    static final Platform.Times FIRMA = new Platform.Times(2, 12, 45, 8, 42);

    static String stimmpostDeployment(String extraTeam) {
        String teams = "";
        String[][] t = {{"ost", "8", "24"}, {"west", "24", "40"}, {"sued", "8", "24"}, {"modelle", "16", "48"}, {"qualitaet", "16", "24"}, {"plattform", "16", "48"}};
        for (String[] x : t) teams += String.format("{\"name\":\"%s\",\"cpus\":0.0,\"cpus_max\":0.0,\"gpus\":%s.0,\"gpus_max\":%s.0},", x[0], x[1], x[2]);
        if (extraTeam != null) teams += String.format("{\"name\":\"%s\",\"cpus\":0.0,\"cpus_max\":0.0,\"gpus\":0.0,\"gpus_max\":0.0},", extraTeam);
        return "{\"size\":3,\"zones\":[\"bern-mitte\",\"lugano-see\",\"zh-nord\"],\"teams\":[" + teams.substring(0, teams.length() - 1) + "],"
            + "\"objectives\":[{\"kind\":\"wait\",\"class\":\"training\",\"within_s\":30.0,\"share\":0.82},{\"kind\":\"wait\",\"class\":\"training\",\"within_s\":70.0,\"share\":0.85},"
            + "{\"kind\":\"finished\",\"class\":\"training\",\"within_s\":150.0,\"share\":0.85},{\"kind\":\"finished\",\"class\":\"nachlauf\",\"within_s\":200.0,\"share\":0.82}],"
            + "\"workers\":{\"report_s\":3.0,\"lease_s\":18.0,\"gang_wait_s\":45.0,\"gang_peer_s\":4.0,\"cancel_s\":48.0},"
            + "\"state\":{\"rps\":150.0,\"write_rps\":60.0,\"value_kb\":16.0,\"txn_ops\":48},\"cloud\":{\"rps\":2.0,\"list_lag_s\":10.0},"
            + "\"quota\":{\"cpu_share\":0.17,\"mem_mb\":181.0,\"fd_limit\":1200},\"time_bound_ms\":25.0}";
    }

    static final Platform.Times FIRMA_FLEET = new Platform.Times(5, 26.5, 45, 8, 56.5);

    /** The settings of firma-andina-fleet and firma-andina-hunt. */
    static String firmaFleetDeployment() {
        return "{\"size\":3,\"zones\":[\"gye-rio\",\"quito-norte\"],\"teams\":[{\"name\":\"firmas\",\"cpus\":0.0,\"cpus_max\":0.0,\"gpus\":0.0,\"gpus_max\":0.0}],"
            + "\"objectives\":[{\"kind\":\"wait\",\"class\":\"forense\",\"within_s\":60.0,\"share\":0.82},{\"kind\":\"wait\",\"class\":\"forense\",\"within_s\":200.0,\"share\":0.995},"
            + "{\"kind\":\"finished\",\"class\":\"forense\",\"within_s\":350.0,\"share\":0.96},{\"kind\":\"finished\",\"class\":\"relote\",\"within_s\":150.0,\"share\":0.94},"
            + "{\"kind\":\"finished\",\"class\":\"relote\",\"within_s\":250.0,\"share\":0.992},{\"kind\":\"wait\",\"class\":\"relote\",\"within_s\":100.0,\"share\":0.992}],"
            + "\"workers\":{\"report_s\":5.0,\"lease_s\":26.5,\"gang_wait_s\":45.0,\"gang_peer_s\":8.0,\"cancel_s\":56.5},"
            + "\"state\":{\"rps\":350.0,\"write_rps\":70.0,\"value_kb\":32.0,\"txn_ops\":24},\"cloud\":{\"rps\":3.0,\"list_lag_s\":5.0},"
            + "\"quota\":{\"cpu_share\":0.34,\"mem_mb\":455.0,\"fd_limit\":3057},\"time_bound_ms\":100.0}";
    }

    static String firmaDeployment() {
        return "{\"size\":3,\"zones\":[\"gye-rio\",\"quito-norte\"],\"teams\":[{\"name\":\"firmas\",\"cpus\":0.0,\"cpus_max\":0.0,\"gpus\":0.0,\"gpus_max\":0.0}],"
            + "\"objectives\":[{\"kind\":\"wait\",\"class\":\"forense\",\"within_s\":60.0,\"share\":0.9},{\"kind\":\"wait\",\"class\":\"forense\",\"within_s\":90.0,\"share\":0.92},"
            + "{\"kind\":\"finished\",\"class\":\"forense\",\"within_s\":400.0,\"share\":0.92},{\"kind\":\"finished\",\"class\":\"relote\",\"within_s\":120.0,\"share\":0.85},"
            + "{\"kind\":\"finished\",\"class\":\"relote\",\"within_s\":180.0,\"share\":0.96}],"
            + "\"workers\":{\"report_s\":2.0,\"lease_s\":12.0,\"gang_wait_s\":45.0,\"gang_peer_s\":8.0,\"cancel_s\":42.0},"
            + "\"state\":{\"rps\":150.0,\"write_rps\":30.0,\"value_kb\":32.0,\"txn_ops\":24},\"cloud\":{\"rps\":2.0,\"list_lag_s\":5.0},"
            + "\"quota\":{\"cpu_share\":0.17,\"mem_mb\":268.0,\"fd_limit\":1500},\"time_bound_ms\":100.0}";
    }

    static final String[] STIMMPOST_ZONES = {"zh-nord", "bern-mitte", "lugano-see"};
    static final String[] FIRMA_ZONES = {"quito-norte", "gye-rio", "quito-norte"};

    /** The types of stimmpost-zentrale, with the machines of the small deployment times the factor. */
    static void stimmpostMachines(Platform p, int factor) {
        List<String> sites = List.of("zh-nord", "bern-mitte", "lugano-see");
        p.flavors.put("klein", new Platform.Flavor("klein", 12, 2, 72, 70, 0.3, 6.34, 2.15, 40, sites));
        p.flavors.put("gross", new Platform.Flavor("gross", 24, 4, 144, 120, 0.8, 7.81, 2.62, 45, sites));
        int[][] n = {{7, 5, 1, 2}, {7, 5, 1, 2}, {8, 6, 2, 2}};
        for (int i = 0; i < 3; i++) {
            p.capacity.put(Platform.offer("klein", sites.get(i), false), n[i][0] * factor);
            p.capacity.put(Platform.offer("klein", sites.get(i), true), n[i][1] * factor);
            p.capacity.put(Platform.offer("gross", sites.get(i), false), n[i][2] * factor);
            p.capacity.put(Platform.offer("gross", sites.get(i), true), n[i][3] * factor);
        }
    }

    static void firmaMachines(Platform p) {
        List<String> sites = List.of("quito-norte", "gye-rio");
        p.flavors.put("cotopaxi", new Platform.Flavor("cotopaxi", 48, 8, 192, 90, 0.3, 22.53, 5.86, 25, sites));
        for (String s : sites) {
            p.capacity.put(Platform.offer("cotopaxi", s, false), 9);
            p.capacity.put(Platform.offer("cotopaxi", s, true), 11);
        }
    }

    /** A submission; registers the job's description for the workers. */
    static Map<String, Object> submission(Platform p, Platform.Job job, String jobClass, String priority, boolean lendable, boolean samePlace, String bundle) {
        p.jobs.put(job.id, job);
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("id", job.id); m.put("jobclass", jobClass); m.put("owner", job.team); m.put("shape", job.gang ? "group" : "sweep");
        m.put("urgency", priority); m.put("shards", job.tasks); m.put("vcpus", job.cpus); m.put("accelerators", job.gpus); m.put("ram_gb", job.ram);
        m.put("bundle", bundle); m.put("pull_gb", job.pullGb); m.put("flavors", null); m.put("site", null); m.put("same_place", samePlace);
        m.put("scatter", false); m.put("lendable", lendable); m.put("expect_s", job.runS); m.put("snapshot_every_s", job.checkpointS);
        m.put("snapshot_s", job.saveS); m.put("due_s", null);
        return m;
    }
}

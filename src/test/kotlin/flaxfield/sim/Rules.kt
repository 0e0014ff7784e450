package flaxfield.sim

import flaxfield.jobs.JobKind
import flaxfield.jobs.JobSpec
import flaxfield.jobs.Resources

/** The rules at the end of PROTOCOL-flaxfield.md, checked against what really happens on machines. */
class Rules(private val limits: Map<String, Double>, private val cancelS: Double, private val leaseS: Double) {
    data class Place(val machineName: String, val machineType: String, val zone: String, val preemptible: Boolean)

    val broken = ArrayList<String>()
    private val specs = HashMap<String, JobSpec>()
    private val on = HashMap<Pair<String, Int>, Place>()
    private val told = HashMap<String, String>()
    private val cancelledAt = HashMap<String, Double>()
    private val finished = HashMap<String, MutableSet<Int>>()
    private val cancelAsked = HashSet<String>()
    var starts = 0
        private set

    /** Jobs submitted with a mistake: they fail on every machine. */
    val mistaken = HashSet<String>()

    /** How many tasks of them started. */
    var mistakenStarts = 0
        private set

    /** What is left to run of tasks that saved when they were stopped. */
    val savedLeft = HashMap<Pair<String, Int>, Double>()

    /** Leases that ran out under a worker with tasks. */
    var leasesLost = 0

    /** Starts that a worker refused since its machine was full. */
    var refusedStarts = 0

    /** Follows what becomes of tasks on machines; null where nobody does. */
    var watcher: TaskWatcher? = null

    private val acceptedAt = HashMap<String, Double>()
    private val answeredAt = HashMap<String, Double>()
    private val began = HashMap<String, Double>()

    fun submitted(spec: JobSpec) {
        specs[spec.id] = spec
    }

    /** Whether its user has asked to cancel it. */
    fun cancelWanted(id: String) = id in cancelAsked

    fun cancelAsked(id: String) {
        cancelAsked += id
    }

    /** A task has its image: from here on it is on its machine. */
    fun starts(id: String, task: Int, place: Place, nowS: Double) {
        val spec = specs[id] ?: return broke("invented", "$id starts")
        starts++
        if (id in mistaken) mistakenStarts++
        began.putIfAbsent(id, nowS)
        on[id to task]?.let {
            broke("ran_twice", "$id/$task starts on ${place.machineName} while on ${it.machineName}")
        }
        val others = on.filter { it.key.first == id && it.key.second != task }.values
        val wrong = (spec.machineTypes?.let { place.machineType !in it } ?: false) ||
            (spec.zone ?: place.zone) != place.zone ||
            (place.preemptible && !spec.preemptible) ||
            (spec.sameZone && others.any { it.zone != place.zone }) ||
            (spec.spreadAcrossZones && others.count { it.zone == place.zone } + 1 > (spec.taskCount + 1) / 2)
        if (wrong) broke("wrong_place", "$id/$task starts on $place")
        on[id to task] = place
        watcher?.starts(spec, task, place)
        val used = used(spec.team)
        if (used > (limits[spec.team] ?: Double.MAX_VALUE)) broke("quota", "${spec.team} uses $used")
        cancelledAt[id]?.let {
            if (nowS - it > cancelS) broke("ran_cancelled", "$id/$task starts")
            // What was ordered before starts when it has its image; the machine may have hung in between, within its
            // lease.
            if (nowS - it > leaseS) broke("started_cancelled", "$id/$task starts ${nowS - it} s after its cancellation")
        }
    }

    /** A worker takes an order to start: no node may give it once it may know of a confirmed cancellation. */
    fun ordered(id: String, task: Int, nowS: Double) {
        val at = cancelledAt[id] ?: return
        if (nowS - at >
            leaseS * ORDERED_SHARE
        ) {
            broke("ordered_cancelled", "$id/$task ordered ${nowS - at} s after its cancellation")
        }
    }

    /** The answer to a submission that can't run or lacks a field, or to another odd request. */
    fun oddAnswer(what: String, status: Int, allowed: Set<Int>) {
        if (status !in allowed) broke("accepted_odd", "$what got $status")
    }

    /** A machine that is up and well, and what its worker has free. */
    class PlacementCandidate(val place: Place, val free: Resources)

    private val waitingSince = HashMap<String, Double>()

    /** With troubles over, no job waits for long while machines that fit have room and its team is under its limit. */
    fun checkWaiting(nowS: Double, candidates: List<PlacementCandidate>) {
        val running = on.keys.mapTo(HashSet()) { it.first }
        for (id in acceptedAt.keys) {
            val spec = specs[id] ?: continue
            val waits = told[id] !in FINAL && id !in cancelAsked && id !in mistaken && id !in running
            if (!waits || !mayRun(spec, candidates)) {
                waitingSince.remove(id)
                continue
            }
            val from = waitingSince.getOrPut(id) { nowS }
            if (nowS - from <= WAITS_S) continue
            broke("waits", "$id of ${spec.team} waits since $from; its team uses ${used(spec.team)}")
            waitingSince[id] = nowS
        }
    }

    private fun mayRun(spec: JobSpec, candidates: List<PlacementCandidate>): Boolean {
        val least = if (spec.jobKind == JobKind.GANG) spec.taskCount else 1
        if (used(spec.team) + spec.taskResources.gpus * least > (limits[spec.team] ?: Double.MAX_VALUE)) return false
        val fits = candidates.filter { s ->
            (spec.machineTypes?.let { s.place.machineType in it } ?: true) &&
                (spec.zone ?: s.place.zone) == s.place.zone &&
                (spec.preemptible || !s.place.preemptible)
        }
        val zones = if (spec.sameZone) fits.groupBy { it.place.zone }.values else listOf(fits)
        return zones.any { zone ->
            zone.sumOf { it.free.countFitting(spec.taskResources).coerceAtMost(least) } >= least
        }
    }

    private fun used(team: String): Double = on.keys.filter { specs[it.first]?.team == team }.sumOf {
        specs[it.first]?.taskResources?.gpus
            ?: 0.0
    }

    fun leaves(id: String, task: Int, machineName: String) {
        if (on[id to task]?.machineName == machineName) on.remove(id to task)
    }

    /** Called when the last task of a job has completed. */
    var onComplete: (String) -> Unit = {}

    fun completes(id: String, task: Int) {
        val done = finished.getOrPut(id) { HashSet() }
        if (done.add(task) && done.size == specs[id]?.taskCount) onComplete(id)
    }

    fun check(nowS: Double) {
        for ((key, place) in on) {
            val at = cancelledAt[key.first] ?: continue
            if (nowS - at > cancelS) broke("ran_cancelled", "${key.first}/${key.second} is on ${place.machineName}")
        }
    }

    /** An answer to a user: `phase` is null for 404. [before] is what users had been told when it was asked for. */
    fun answered(id: String, phase: String?, nowS: Double, before: String? = told[id]) {
        val spec = specs[id]
        if (spec == null) {
            if (phase != null) broke("invented", "$id is called $phase")
            return
        }
        acceptedAt.putIfAbsent(id, nowS)
        answeredAt[id] = nowS
        if (phase == null) {
            if (before != null) broke("forgotten", "$id gets 404")
            return
        }
        if (before in FINAL && phase != before) broke("went_back", "$id was $before, is $phase")
        if (phase == "aborted" && id !in cancelAsked) broke("went_back", "$id is aborted without its user")
        if (phase == "done" && (finished[id]?.size ?: 0) < spec.taskCount) broke("not_done", "$id is called done")
        if (phase == "aborted") cancelledAt.putIfAbsent(id, nowS)
        // An answer that was under way when something final was told does not take it back.
        if (told[id] !in FINAL) told[id] = phase
    }

    /** An accepted job whose user got no answer for long, though troubles are over, is forgotten. */
    fun checkKnown(nowS: Double) {
        for ((id, at) in answeredAt) {
            if (told[id] in FINAL || nowS - at <= UNANSWERED_S) continue
            broke("forgotten", "$id without an answer since $at")
            answeredAt[id] = nowS
        }
    }

    /**
     * At the end of a day: half of each class, of each team and of each class's largest jobs; the largest begin in
     * time.
     */
    fun checkServed() {
        val accepted = acceptedAt.keys.mapNotNull { specs[it] }.filter { it.id !in cancelAsked }
        fun half(what: String, jobs: List<JobSpec>) {
            val served = jobs.count { told[it.id] == "done" }
            if (served * 2 < jobs.size) broke("not_served", "$what: $served of ${jobs.size}")
        }
        for ((team, jobs) in accepted.groupBy { it.team }) half("team $team", jobs)
        for ((jobClass, jobs) in accepted.groupBy { it.jobClass }) {
            half("class $jobClass", jobs)
            val most = jobs.maxOf { it.taskCount }
            val largest = jobs.filter { it.taskCount == most }
            half("largest of $jobClass", largest)
            for (j in largest) {
                val waited = (began[j.id] ?: Double.MAX_VALUE) - acceptedAt.getValue(j.id)
                if (waited > LARGEST_BEGIN_S) broke("late_largest", "${j.id} began after $waited s")
            }
        }
    }

    /** When the first job was accepted. */
    val firstAcceptedS: Double get() = acceptedAt.values.minOrNull() ?: Double.MAX_VALUE

    fun told(id: String): String? = told[id]

    private fun broke(rule: String, what: String) {
        broken += "$rule: $what"
    }

    companion object {
        val FINAL = setOf("done", "aborted")
        private const val UNANSWERED_S = 75.0
        private const val LARGEST_BEGIN_S = 240.0
        private const val WAITS_S = 90.0

        /** The view that launches rest on is at most a report's interval old; the rest is for the order's way. */
        private const val ORDERED_SHARE = 0.25
    }
}

/** Told of what happens to tasks on machines. */
interface TaskWatcher {
    /** It has its image and is on its machine from now on. */
    fun starts(spec: JobSpec, index: Int, place: Rules.Place) = Unit

    /** The task does its work from now on. */
    fun runs(spec: JobSpec, index: Int)

    /** Its worker was told to stop it, and to let it save for so long. */
    fun halted(spec: JobSpec, index: Int, gracePeriodS: Double)

    /** It is on its machine no more, for whatever reason. */
    fun left(spec: JobSpec, index: Int)

    /** It is through, before it leaves. */
    fun done(spec: JobSpec, index: Int)
}

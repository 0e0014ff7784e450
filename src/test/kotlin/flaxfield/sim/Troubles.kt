package flaxfield.sim

import flaxfield.Samples
import flaxfield.jobs.JobCodec
import flaxfield.jobs.Priority
import flaxfield.jobs.Resources
import flaxfield.jobs.JobKind
import flaxfield.codec.Cbor

/** Troubles by name, between 20 and 110 s of a day; a row of a table combines them as `kill+lost`. */
class Troubles(private val c: SimCluster, private val users: List<SimUser> = emptyList()) {
    private val r = c.loop.random

    private fun at(s: Double, run: () -> Unit) = c.loop.after((s * SimLoop.SECOND).toLong(), run)

    private fun during(from: Double, length: Double, set: (Boolean) -> Unit) {
        at(from) { set(true) }
        at(from + length) { set(false) }
    }

    fun begin(names: String) {
        val kind = names.split('+').toSet()
        val unknown = kind - KNOWN
        require(unknown.isEmpty()) { "no such trouble: $unknown" }
        alone(kind)
        meetings(kind)
    }

    /** What operators have met one at a time. */
    private fun alone(kind: Set<String>) {
        if ("kill" in kind) for (k in 0 until 5) at(20.0 + 15 * k) { c.kill(r.nextInt(3), if (k % 2 == 0) 0.3 else 3.0) }
        if ("all" in kind) at(45.0) { for (i in 0..2) c.kill(i, 2.0) }
        if ("behind" in kind) for (p in c.processors) during(15.0, 95.0) { p.slow = it }
        if ("outage" in kind) during(35.0, 14.0) { c.state.outage = it }
        if ("cut" in kind) {
            during(30.0, 15.0) { c.stateWire[0].cut = it }
            during(60.0, 12.0) { c.workerWire[1].cut = it }
        }
        if ("lost" in kind) {
            for (w in c.stateWire) {
                during(15.0, 90.0) { on ->
                    w.loseAnswer = if (on) 0.05 else 0.0
                    w.late = if (on) 0.05 else 0.0
                }
            }
        }
        if ("hang" in kind) {
            for (k in 0 until 4) {
                at(25.0 + 18 * k) {
                    val w = c.cloud.machines.values.toList().randomOrNull(r) ?: return@at
                    w.hangs = true
                    at(10.0 + 4 * k) { w.hangs = false }
                }
            }
        }
        if ("taken" in kind) for (k in 0 until 4) at(28.0 + 16 * k) { c.cloud.machines.values.toList().randomOrNull(r)?.die() }
        if ("deaf" in kind) {
            for (k in 0 until 3) {
                at(24.0 + 20 * k) {
                    val w = c.cloud.machines.values.toList().randomOrNull(r) ?: return@at
                    w.deaf = true
                }
            }
        }
        if ("copies" in kind) during(15.0, 95.0) { c.copies = if (it) 0.1 else 0.0 }
        // Without the state service and the others, but not without its workers.
        if ("lone" in kind) {
            for (k in 0 until 3) {
                during(28.0 + 28 * k, 12.0 + 6 * k) {
                    c.stateWire[k].cut = it
                    c.peerCut[k] = it
                }
            }
        }
        // Back at once, several times in a row, and again while the others still elect.
        if ("blink" in kind) {
            for (k in 0 until 12) at(20.0 + 7 * k) { for (i in 0..2) if (r.nextInt(2) == 0) c.kill(i, 0.05 + 0.3 * r.nextDouble()) }
            for (k in 0 until 6) at(21.5 + 14 * k) { c.kill(r.nextInt(3), 0.1) }
        }
        // Longer than a lease, its controller inside: some of these tasks can't be saved, but none may run twice.
        if ("zone" in kind) {
            for (w in c.stateWire) w.holds = true
            during(30.0, 14.0) { c.zoneCut = if (it) "b" else null }
            during(70.0, 9.0) { c.zoneCut = if (it) "a" else null }
        }
        if ("freeze" in kind) for (k in 0 until 3) at(26.0 + 25 * k) { c.freeze(r.nextInt(3), 8.0 + 2 * k) }
        if ("refuse" in kind) during(40.0, 30.0) { c.peersRefuse = it }
        // Some machines never come up, then all come slowly, then at once.
        if ("boots" in kind) {
            during(5.0, 40.0) { c.cloud.bootFails = if (it) 0.5 else 0.0 }
            during(50.0, 30.0) { c.cloud.bootFactor = if (it) 5.0 else 0.02 }
        }
        if ("storm" in kind) during(30.0, 60.0) { c.storm = if (it) 10 else 1 }
        // On the same machines as healthy jobs, and on ones that come anew.
        if ("mistakes" in kind) {
            for (k in 0 until 3) {
                val spec = Samples.spec(
                    id = "job-5$k",
                    jobKind = if (k == 1) JobKind.GANG else JobKind.ARRAY,
                    taskCount = intArrayOf(40, 3, 1)[k],
                    team = if (k == 0) "red" else "blue",
                    priority = if (k == 1) Priority.HIGH else Priority.IDLE,
                    preemptible = k != 1,
                    taskResources = if (k == 1) Resources(12.0, 3.0, 40.0) else Resources(4.0, 1.0, 16.0),
                    jobClass = "broken",
                ).copy(expectedRuntimeS = 6.0)
                c.job(spec)
                c.rules.mistaken += spec.id
                at(12.0 + 9 * k) { SimUser(c, spec, cancelsAfterS = 60.0).submit() }
            }
        }
        if ("sick" in kind) at(22.0) { c.cloud.machines.values.firstOrNull()?.sick = true }
    }

    /** What meets something else: named after the operators' list of meetings. */
    private fun meetings(kind: Set<String>) {
        // The state service refuses the leader alone, others confirm cancellations, then it is out for all for long.
        if ("gap" in kind) {
            var refused = 0
            at(50.0) {
                refused = c.leader
                c.state.refuse(refused, true)
            }
            cancelRunning(50.1, 0.8, share = 0.9)
            during(51.0, c.cancelS * 1.5) { c.state.outage = it }
            at(54.0) { c.state.refuse(refused, false) }
        }
        if ("longoutage" in kind) during(45.0, c.cancelS * 1.3) { c.state.outage = it }
        if ("lonelead" in kind) {
            // Cut from the state service and its peers, not from its workers and users.
            var alone = 0
            at(40.0) {
                alone = c.leader
                c.stateWire[alone].cut = true
                c.peerCut[alone] = true
            }
            at(58.0) {
                c.stateWire[alone].cut = false
                c.peerCut[alone] = false
            }
        }
        if ("cancels" in kind) for (k in 0 until 9) cancelRunning(30.0 + 8 * k, 2.0, share = 0.15)
        if ("cancelhang" in kind) {
            for (from in doubleArrayOf(41.0, 72.0)) {
                at(from) {
                    val victims = c.cloud.machines.values.filter { it.candidate() != null }.shuffled(r).take(4)
                    for (w in victims) w.hangs = true
                    at(SimCluster.LEASE_S * 1.8) { for (w in victims) w.hangs = false }
                }
                cancelRunning(from + 0.05, 0.2, share = 0.5)
            }
        }
        if ("cancelcut" in kind) {
            // Machines that nobody reaches for a while, their jobs cancelled meanwhile.
            for (from in doubleArrayOf(38.0, 69.0)) {
                at(from) {
                    val victims = c.cloud.machines.values.filter { it.candidate() != null }.shuffled(r).take(4)
                    for (w in victims) {
                        w.mute = true
                        w.deaf = true
                    }
                    at(SimCluster.LEASE_S * 1.5) {
                        for (w in victims) {
                            w.mute = false
                            w.deaf = false
                        }
                    }
                }
                cancelRunning(from + 0.1, 1.0, share = 0.4)
            }
        }
        if ("atend" in kind) {
            c.rules.onComplete = { id -> if (r.nextInt(2) == 0) users.firstOrNull { it.spec.id == id }?.cancel() }
        }
        if ("handover" in kind) for (k in 0 until 6) at(28.0 + 13 * k) { c.kill(c.leader, 5.0) }
        if ("tenleaders" in kind) for (k in 0 until 10) at(22.0 + 8.5 * k) { c.kill(c.leader, if (k % 3 == 0) 0.2 else 3.0) }
        if ("away" in kind) {
            at(45.0) { for (i in c.names.indices) c.kill(i, SimCluster.LEASE_S * (if (i == 0) 1.3 else 3.0)) }
            at(85.0) { for (i in c.names.indices) c.kill(i, if (i == 2) 0.3 else 9.0) }
        }
        if ("fornext" in kind) during(15.0, 95.0) { c.copiesForNext = if (it) 0.4 else 0.0 }
        if ("silent" in kind) for (w in c.stateWire) during(15.0, 90.0) { w.silentTxn = if (it) 0.25 else 0.0 }
        if ("latewrites" in kind) for (w in c.stateWire) during(15.0, 90.0) { w.lateTxn = if (it) 0.15 else 0.0 }
        if ("slow" in kind) for (w in c.stateWire) during(25.0, 60.0) { w.slowMs = if (it) 250L else 0L }
        if ("looks" in kind) c.closeLooks = true
        if ("mute" in kind) {
            for (from in doubleArrayOf(33.0, 66.0)) {
                some(from, SimCluster.LEASE_S * 1.6) { w, on -> w.mute = on }
            }
        }
        if ("deafspell" in kind) {
            for (from in doubleArrayOf(36.0, 70.0)) {
                some(from, SimCluster.LEASE_S * 1.6) { w, on -> w.deaf = on }
            }
        }
        // Up at once, while the leader that rented them ends.
        if ("quick" in kind) {
            during(3.0, 100.0) { c.cloud.bootFactor = if (it) 0.02 else 1.0 }
            for (k in 0 until 6) at(5.0 + 14 * k) { c.kill(c.leader, 2.0) }
        }
        if ("swarm" in kind) {
            for (k in 0 until 240) {
                val spec = c.job(
                    Samples.spec(
                        id = "job-7$k",
                        taskCount = 1,
                        team = if (k % 5 == 0) "red" else "blue",
                        taskResources = Resources(0.5, 0.0, 2.0),
                        jobClass = "swarm",
                    ).copy(expectedRuntimeS = 3.0 + k % 7),
                )
                val u = SimUser(c, spec, cancelsAfterS = if (k % 4 == 0) 0.2 + k % 6 else null)
                at(20.0 + 0.25 * k) { u.submit() }
            }
        }
        if ("odd" in kind) for (k in 0 until 40) at(15.0 + 2.3 * k) { odd(k) }
    }

    /** Of the jobs that run, a [share] is cancelled by their users within [withinS]. */
    private fun cancelRunning(atS: Double, withinS: Double, share: Double) = at(atS) {
        val running = users.filter { c.rules.told(it.spec.id) != null && c.rules.told(it.spec.id) !in Rules.FINAL }
        for (u in running) if (r.nextDouble() < share) at(r.nextDouble() * withinS) { u.cancel() }
    }

    private fun some(fromS: Double, forS: Double, set: (SimWorker, Boolean) -> Unit) = at(fromS) {
        val victims = c.cloud.machines.values.filter { r.nextDouble() < 0.4 }
        for (w in victims) set(w, true)
        at(forS) { for (w in victims) set(w, false) }
    }

    /** What users should not send, and what they may send again; the answers are those of the protocol. */
    private fun odd(k: Int) {
        val good: Map<String, Any?> = JobCodec.encodeSpec(Samples.spec(id = "job-8$k", team = "blue"))
        val name = FIELDS[k % FIELDS.size]
        val node = r.nextInt(c.names.size)
        fun submit(what: String, body: ByteArray, status: Int) = c.user(node, "POST", "/work", body) { a ->
            // Overload, or a node that can't decide yet.
            if (a != null) c.rules.oddAnswer(what, a.status, setOf(status, 429, 503))
        }
        when (k % 5) {
            0 -> submit("without $name", Cbor.encode(good - name), 400)
            1 -> submit("no CBOR", byteArrayOf(0x1f, 0x22), 400)
            2 -> submit("fits nowhere", Cbor.encode(good + ("vcpus" to 1e6)), 422)
            3 -> submit("unknown team", Cbor.encode(good + ("owner" to "nobody")), 422)
            else -> users.randomOrNull(r)?.apply {
                resubmit()
                cancelOver()
            }
        }
        c.user(node, "POST", "/work/job-8$k/cancel", ByteArray(0)) { a ->
            if (a != null) c.rules.oddAnswer("cancelling an unknown job", a.status, setOf(404, 429, 503))
        }
    }

    private companion object {
        /** Fields that may not be null. */
        val FIELDS = listOf(
            "id", "jobclass", "owner", "shape", "urgency", "shards", "vcpus", "accelerators",
            "ram_gb", "same_place", "scatter", "lendable", "bundle", "pull_gb", "expect_s", "snapshot_every_s", "snapshot_s",
        )

        val KNOWN = setOf(
            "quiet", "kill", "all", "outage", "cut", "lost", "hang", "taken", "deaf", "copies", "lone", "blink", "zone", "freeze", "refuse",
            "boots", "storm", "mistakes", "sick",
            "gap", "longoutage", "lonelead", "cancels", "cancelhang", "cancelcut", "atend", "handover", "tenleaders", "away", "fornext",
            "silent", "latewrites", "slow", "looks", "mute", "deafspell", "quick", "swarm", "odd", "behind",
        )
    }
}

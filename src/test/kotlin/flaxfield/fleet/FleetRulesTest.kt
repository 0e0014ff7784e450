package flaxfield.fleet

import flaxfield.Samples
import flaxfield.codec.Cbor
import flaxfield.jobs.JobKind
import flaxfield.jobs.JobSpec
import flaxfield.jobs.Resources
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class FleetRulesTest {
    private val one = Resources(4.0, 1.0, 16.0)
    private val machineTypes = listOf(
        Samples.machineType("big", one * 4, 8.0, 3.0),
        Samples.machineType("small", one * 2, 6.0, 2.0),
    ).associateBy {
        it.label
    }

    private fun pack(
        demands: List<CapacityDemand>,
        bins: List<Bin> = emptyList(),
        refused: Set<Offer> = emptySet(),
        suits: Suits = Suits { _, _, _ -> true },
    ) = FleetRules.pack(demands, bins, machineTypes, 20, suits) { o ->
        if (o in
            refused
        ) {
            null
        } else {
            machineTypes.getValue(o.machineType).let { if (o.preemptible) it.spotPricePerHour else it.rate }
        }
    }

    private fun rent(spec: JobSpec, tasks: Int, refused: Set<Offer> = emptySet(), isUrgent: Boolean = false) =
        pack(listOf(CapacityDemand(spec, tasks, isUrgent)), refused = refused).rent

    @Test
    fun `the cheapest offer per task that it will run is rented`() {
        val spec = Samples.spec(zone = "a")
        assertEquals(mapOf(Offer("big", "a", true) to 2), rent(spec, 8))
        assertEquals(mapOf(Offer("small", "a", true) to 1), rent(spec, 1))
        assertEquals(mapOf(Offer("big", "a", true) to 1, Offer("small", "a", true) to 1), rent(spec, 5))
        assertEquals(mapOf(Offer("small", "a", true) to 2), rent(spec, 4, refused = setOf(Offer("big", "a", true))))
        assertEquals(mapOf(Offer("big", "a", false) to 1), rent(Samples.spec(zone = "a", preemptible = false), 4))
    }

    @Test
    fun `a machine that does not come up is judged by those rented after it`() {
        val table = listOf(
            Triple(47.0, 30.0, true) to Boot.COMING,
            Triple(49.0, 30.0, true) to Boot.OVERDUE,
            Triple(97.0, 30.0, true) to Boot.LOST,
            // None came up since: all are slow, and returned at 3.2 boots none of them ever came.
            Triple(95.0, 30.0, false) to Boot.COMING,
            Triple(97.0, 30.0, false) to Boot.OVERDUE,
            Triple(191.0, 30.0, false) to Boot.OVERDUE,
            Triple(193.0, 30.0, false) to Boot.LOST,
        )
        for ((row, want) in table) assertEquals(want, Boot.of(row.first, row.second, row.third), "$row")
    }

    @Test
    fun `ordinary machines are rented for cheap jobs only when they press`() {
        val none = setOf(Offer("big", "a", true), Offer("small", "a", true))
        assertEquals(emptyMap<Offer, Int>(), rent(Samples.spec(zone = "a"), 4, none))
        assertEquals(mapOf(Offer("big", "a", false) to 1), rent(Samples.spec(zone = "a"), 4, none, isUrgent = true))
    }

    @Test
    fun `a job presses when a machine rented now would only just meet its aim at start`() {
        // Arrays waited 60 to 145 s for cheap machines that were all in use, past their aim of 80 s.
        val table = listOf(
            Triple(1.0, listOf(80.0, 200.0), true) to "a boot and a fetch take 57 s, and often 86",
            Triple(1.0, listOf(120.0), false) to "there is time",
            Triple(30.0, listOf(80.0, 200.0), false) to "the first aim is lost, the second is far",
            Triple(120.0, listOf(80.0, 200.0), true) to "the second is near",
            Triple(201.0, listOf(80.0, 200.0), true) to "both are lost: it must not wait for ever",
            Triple(99.0, emptyList<Double>(), false) to "no aim at start",
        )
        for ((row, what) in table) {
            assertEquals(
                row.third,
                FleetRules.pressesToStart(row.first, 57.0, 100.0, row.second),
                what,
            )
        }
        // Every job that found no room at once got the dear kind, and the price rose by half.
        assertEquals(false, FleetRules.pressesToStart(1.0, 57.0, 20.0, listOf(80.0, 200.0)), "tasks end fast enough")
        // Half of the aim was the limit once: the queue was through in time, and the dear machines came after it.
        assertEquals(
            false,
            FleetRules.pressesToStart(1.0, 57.0, 60.0, listOf(80.0, 200.0)),
            "the queue is through in time",
        )
    }

    @Test
    fun `work without an aim gets dear machines only lest it never begins or ends`() {
        val table = listOf(
            Triple(119.0, false, false),
            Triple(121.0, false, true),
            Triple(121.0, true, false),
            Triple(479.0, true, false),
            Triple(481.0, true, true),
        )
        for ((age, begun, want) in table) {
            assertEquals(
                want,
                FleetRules.pressesWithoutAim(age, begun),
                "$age s, begun $begun",
            )
        }
    }

    @Test
    fun `a swarm's demands are packed as one, others as they are`() {
        fun small(n: Int, cpus: Double) =
            CapacityDemand(Samples.spec(id = "job-$n", taskCount = 1, taskResources = Resources(cpus, 0.0, 1.0)), 1)
        val wide = CapacityDemand(Samples.spec(id = "job-8"), 9)
        val bound = CapacityDemand(Samples.spec(id = "job-9", taskCount = 2, sameZone = true), 2)
        val together = FleetRules.together(
            listOf(small(1, 0.2), wide, small(2, 0.3), bound, small(3, 0.1), small(4, 0.1).copy(isUrgent = true)),
        )
        assertEquals(listOf(3, 9, 2, 1), together.map { it.tasks })
        assertEquals(Resources(0.3, 0.0, 1.0), together.first().spec.taskResources)
    }

    @Test
    fun `room that is there or on its way is used first`() {
        val bins = {
            listOf(
                Bin("h1", "big", "a", false, one),
                Bin("h2", "big", "a", true, one * 2),
                Bin(
                    null,
                    "big",
                    "b",
                    true,
                    one * 4,
                ),
            )
        }
        val p = pack(listOf(CapacityDemand(Samples.spec(), 7)), bins())
        assertEquals(Packing(emptyMap(), setOf("h1", "h2")), p)
        val kept = pack(listOf(CapacityDemand(Samples.spec(), 7)), bins()) { _, _, preemptible -> preemptible }
        assertEquals(setOf("h2"), kept.usedHosts)
    }

    @Test
    fun `tasks that must be together are packed into one zone`() {
        val bins = listOf(Bin("a1", "big", "a", false, one * 2), Bin("b1", "big", "b", false, one * 2))
        val p =
            pack(
                listOf(CapacityDemand(Samples.spec(jobKind = JobKind.GANG, sameZone = true, preemptible = false), 4)),
                bins,
            )
        assertEquals(setOf("a1"), p.usedHosts)
        assertEquals(setOf("a"), p.rent.keys.map { it.zone }.toSet())
    }

    @Test
    fun `a job whose tasks must be together goes where most of them find room`() {
        // Packed into the zone of the first free machine, a gang kept a part of two zones and had neither whole.
        val bins = {
            listOf(
                Bin("a1", "big", "a", false, one * 4),
                Bin("b1", "big", "b", false, one * 4),
                Bin(
                    "b2",
                    "big",
                    "b",
                    false,
                    one * 4,
                ),
            )
        }
        val gang = Samples.spec(jobKind = JobKind.GANG, sameZone = true, preemptible = false, taskResources = one * 4)
        assertEquals(setOf("b1", "b2"), pack(listOf(CapacityDemand(gang, 2)), bins()).usedHosts)
        assertEquals(mapOf(Offer("big", "b", false) to 2), pack(listOf(CapacityDemand(gang, 4)), bins()).rent)
    }

    @Test
    fun `among equal prices the zone whose controllers have less to do is taken`() {
        val load = Load { zone, more -> (if (zone == "a") 4.0 else 0.0) + more }
        val got = FleetRules.pack(listOf(CapacityDemand(Samples.spec(), 24)), emptyList(), machineTypes, 20, {
                _,
                _,
                _,
            ->
            true
        }, load) { o ->
            if (o.preemptible && o.machineType == "big") 3.0 else null
        }
        assertEquals(mapOf(Offer("big", "b", true) to 5, Offer("big", "a", true) to 1), got.rent)
    }

    @Test
    fun `a huge array is looked at in part`() {
        assertEquals(20, rent(Samples.spec(taskCount = 100_000), 100_000).values.sum())
    }

    @Test
    fun `spares are what arrives while a machine boots and fetches`() {
        val gang = ClassRate(Samples.spec(jobKind = JobKind.GANG, taskCount = 2, preemptible = false), 0.05)
        val array = ClassRate(Samples.spec(), 1.0)
        val ordinary = ClassRate(Samples.spec(preemptible = false), 1.0)
        val got = FleetRules.spares(listOf(gang, array, ordinary), {
            50.0
        }, gangFactor = 1.0, arrayFactor = 0.5).map { it.tasks }
        assertEquals(listOf(3, 25), got)
        assertEquals(emptyList<CapacityDemand>(), FleetRules.spares(listOf(gang, array), { 50.0 }, 0.0, 0.0))
    }

    @Test
    fun `machines, rentals and types survive the store`() {
        val m = Samples.machine(
            "h",
        ).copy(reservation = MachineReservation("job-1", ULong.MAX_VALUE, 3, true, 7), phase = MachinePhase.RETIRING)
        assertEquals(m, FleetCodec.machine(Cbor.decode(Cbor.encode(FleetCodec.encode(m))), "live/host/h", m.version))
        val h = Rental("n-1", "big", "a", true, 4, 9, 2uL)
        assertEquals(h, FleetCodec.hire(Cbor.decode(Cbor.encode(FleetCodec.encode(h))), "live/hire/n-1", 2uL))
        assertEquals(
            machineTypes,
            FleetCodec.machineTypes(Cbor.decode(Cbor.encode(FleetCodec.encodeFlavors(machineTypes.values, 5)))),
        )
    }

    @Test
    fun `the cloud is asked within its rate and its burst`() {
        // The limit is 3 a second with bursts of two seconds' worth; asked beyond it, the cloud refuses the urgent with
        // the rest.
        val rate = CloudRate(3.0)
        val asked = { atS: Double, n: Int -> (1..n).count { rate.allows((atS * 1e9).toLong()) } }
        assertEquals(listOf(2, 0, 2, 5), listOf(asked(1.0, 10), asked(1.1, 10), asked(1.8, 10), asked(60.0, 10)))
    }

    @Test
    fun `only machines that nobody knows are unknownMachines, whenever they were listed as such`() {
        val s = UnknownMachines()
        s.listed(listOf("h1", "h2", "h3"), known = setOf("h3"), nowNs = 10)
        s.listed(listOf("h1", "h2", "h4"), known = setOf("h3"), nowNs = 20)
        val table = listOf(
            Triple("too early", setOf<String>() to 10L, emptyList()),
            Triple("listed since long", setOf<String>() to 11L, listOf("h1", "h2")),
            // Taken in after the list: it was returned with all its tasks.
            Triple("known by now", setOf("h1") to 11L, listOf("h2")),
            Triple("each from its first list", setOf<String>() to 21L, listOf("h1", "h2", "h4")),
        )
        for ((what, asked, want) in table) assertEquals(want, s.due(asked.first, asked.second), what)
        s.listed(listOf("h2"), known = emptySet(), nowNs = 30)
        assertEquals(listOf("h2"), s.due(emptySet(), 99))
        s.forget("h2")
        assertEquals(emptyList<String>(), s.due(emptySet(), 99))
    }
}

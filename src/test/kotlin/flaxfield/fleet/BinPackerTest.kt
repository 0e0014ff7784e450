package flaxfield.fleet

import flaxfield.Samples
import flaxfield.jobs.JobKind
import flaxfield.jobs.JobSpec
import flaxfield.jobs.MachineRoom
import flaxfield.jobs.Resources
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class BinPackerTest {
    private val oneTask = Resources(4.0, 1.0, 16.0)
    private val machineTypes = listOf(
        Samples.machineType("big", oneTask * 4, 8.0, 3.0),
        Samples.machineType("small", oneTask * 2, 6.0, 2.0),
    ).associateBy { it.label }

    private fun pack(
        demands: List<CapacityDemand>,
        bins: List<Bin> = emptyList(),
        refused: Set<Offer> = emptySet(),
        filter: MachineKindFilter = MachineKindFilter { _, _, _ -> true },
    ): PackingResult {
        val offers = OfferSelector(machineTypes, filter) { offer ->
            val machineType = machineTypes.getValue(offer.machineType)
            when {
                offer in refused -> null
                offer.preemptible -> machineType.spotPricePerHour
                else -> machineType.onDemandPricePerHour
            }
        }
        return BinPacker(offers, filter, maxNewMachines = 20).pack(demands, bins)
    }

    private fun rent(spec: JobSpec, tasks: Int, refused: Set<Offer> = emptySet(), isUrgent: Boolean = false) =
        pack(listOf(CapacityDemand(spec, tasks, isUrgent)), refused = refused).newMachines

    @Test
    fun `rents the offer with the lowest price per task that will run on it`() {
        val spec = Samples.spec(zone = "a")
        assertEquals(mapOf(Offer("big", "a", true) to 2), rent(spec, 8))
        assertEquals(mapOf(Offer("small", "a", true) to 1), rent(spec, 1))
        assertEquals(mapOf(Offer("big", "a", true) to 1, Offer("small", "a", true) to 1), rent(spec, 5))
        assertEquals(mapOf(Offer("small", "a", true) to 2), rent(spec, 4, refused = setOf(Offer("big", "a", true))))
        assertEquals(mapOf(Offer("big", "a", false) to 1), rent(Samples.spec(zone = "a", preemptible = false), 4))
    }

    @Test
    fun `rents on-demand machines for preemptible jobs only when they are urgent`() {
        val spec = Samples.spec(zone = "a")
        val spotOffers = setOf(Offer("big", "a", true), Offer("small", "a", true))
        val refused = pack(listOf(CapacityDemand(spec, 4)), refused = spotOffers)
        assertEquals(PackingResult(emptyMap(), emptySet(), listOf(UnmetDemand("job-1", 4, null))), refused)
        assertEquals(mapOf(Offer("big", "a", false) to 1), rent(spec, 4, spotOffers, isUrgent = true))
    }

    @Test
    fun `uses existing and requested machines before renting new ones`() {
        val bins = {
            listOf(
                Bin("h1", "big", "a", false, MachineRoom(oneTask)),
                Bin("h2", "big", "a", true, MachineRoom(oneTask * 2)),
                Bin(null, "big", "b", true, MachineRoom(oneTask * 4)),
            )
        }
        val result = pack(listOf(CapacityDemand(Samples.spec(), 7)), bins())
        assertEquals(PackingResult(emptyMap(), setOf("h1", "h2")), result)
        val spotOnly = pack(listOf(CapacityDemand(Samples.spec(), 7)), bins()) { _, _, preemptible -> preemptible }
        assertEquals(setOf("h2"), spotOnly.usedMachines)
    }

    /** Guards against review case 1: room that the schedulers do not grant was counted, and no machine was rented. */
    @Test
    fun `rents a machine for a demand that the schedulers do not admit to the existing ones`() {
        val onDemand = { Bin("h1", "big", "a", false, MachineRoom(oneTask)) }
        val sameZone = Samples.spec(sameZone = true, taskCount = 2)
        val rows = listOf(
            CapacityDemand(
                Samples.spec(zone = "b"),
                1,
                excludedMachines = setOf("h1"),
            ) to Bin("h1", "big", "b", true, MachineRoom(oneTask)),
            CapacityDemand(Samples.spec(zone = "b"), 1) to Bin("h1", "big", "b", true, MachineRoom(oneTask, reportBytes = 0)),
            CapacityDemand(Samples.spec(zone = "b"), 1, mayUseOnDemand = false) to Bin("h1", "big", "b", false, MachineRoom(oneTask)),
            CapacityDemand(sameZone, 1, placedZones = listOf("b")) to Bin("h1", "big", "a", true, MachineRoom(oneTask)),
        )
        for ((demand, bin) in rows) {
            val result = pack(listOf(demand), listOf(bin))
            assertEquals(PackingResult(mapOf(Offer("small", "b", true) to 1), emptySet()), result, "$demand")
        }
        assertEquals(setOf("h1"), pack(listOf(CapacityDemand(Samples.spec(), 1)), listOf(onDemand())).usedMachines)
    }

    @Test
    fun `packs the tasks of a same-zone gang into one zone`() {
        val bins = listOf(Bin("a1", "big", "a", false, MachineRoom(oneTask * 2)), Bin("b1", "big", "b", false, MachineRoom(oneTask * 2)))
        val result =
            pack(
                listOf(CapacityDemand(Samples.spec(jobKind = JobKind.GANG, sameZone = true, preemptible = false), 4)),
                bins,
            )
        assertEquals(setOf("a1"), result.usedMachines)
        assertEquals(setOf("a"), result.newMachines.keys.map { it.zone }.toSet())
    }

    @Test
    fun `packs a same-zone gang into the zone that can hold most of its tasks`() {
        // The zone of the first free machine may be too small for the gang while another zone is not.
        val bins = {
            listOf(
                Bin("a1", "big", "a", false, MachineRoom(oneTask * 4)),
                Bin("b1", "big", "b", false, MachineRoom(oneTask * 4)),
                Bin("b2", "big", "b", false, MachineRoom(oneTask * 4)),
            )
        }
        val gang =
            Samples.spec(jobKind = JobKind.GANG, sameZone = true, preemptible = false, taskResources = oneTask * 4)
        assertEquals(setOf("b1", "b2"), pack(listOf(CapacityDemand(gang, 2)), bins()).usedMachines)
        assertEquals(mapOf(Offer("big", "b", false) to 2), pack(listOf(CapacityDemand(gang, 4)), bins()).newMachines)
    }

    /** Guards against review case 2: the zone of the idle machines had no further one, and no other zone was asked. */
    @Test
    fun `packs a same-zone gang into another zone if its machines can only be rented there`() {
        val spec = Samples.spec(jobKind = JobKind.GANG, sameZone = true, preemptible = false, taskResources = oneTask * 4)
        val bins = { listOf("a1", "a2", "a3").map { Bin(it, "big", "a", false, MachineRoom(oneTask * 4)) } }
        val refused = setOf(Offer("big", "a", false))
        val result = pack(listOf(CapacityDemand(spec, 4)), bins(), refused)
        assertEquals(PackingResult(mapOf(Offer("big", "b", false) to 4), emptySet()), result)
        // While no zone has machines for all tasks, those of the fullest zone are kept for a limited time.
        val allRefused = refused + Offer("big", "b", false)
        val holding = pack(listOf(CapacityDemand(spec, 4)), bins(), allRefused)
        assertEquals(PackingResult(emptyMap(), setOf("a1", "a2", "a3"), listOf(UnmetDemand("job-1", 1, "a"))), holding)
        val released = pack(listOf(CapacityDemand(spec, 4, mayHoldMachines = false)), bins(), allRefused)
        assertEquals(PackingResult(emptyMap(), emptySet(), listOf(UnmetDemand("job-1", 4, "a"))), released)
    }

    @Test
    fun `selects the zone with fewer machines per controller among equal prices`() {
        val load = ZoneLoad { zone, additionalMachines -> (if (zone == "a") 4.0 else 0.0) + additionalMachines }
        val filter = MachineKindFilter { _, _, _ -> true }
        val offers = OfferSelector(machineTypes, filter, load) { offer ->
            if (offer.preemptible && offer.machineType == "big") 3.0 else null
        }
        val demands = listOf(CapacityDemand(Samples.spec(), 24))
        val result = BinPacker(offers, filter, maxNewMachines = 20).pack(demands, emptyList())
        assertEquals(mapOf(Offer("big", "b", true) to 5, Offer("big", "a", true) to 1), result.newMachines)
    }

    @Test
    fun `limits the number of new machines for a huge array`() {
        assertEquals(20, rent(Samples.spec(taskCount = 100_000), 100_000).values.sum())
    }
}

package flaxfield.fleet

import flaxfield.Samples
import flaxfield.jobs.JobKind
import flaxfield.jobs.JobSpec
import flaxfield.jobs.Resources
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class BinPackerTest {
    private val one = Resources(4.0, 1.0, 16.0)
    private val machineTypes = listOf(
        Samples.machineType("big", one * 4, 8.0, 3.0),
        Samples.machineType("small", one * 2, 6.0, 2.0),
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
    fun `the cheapest offer per task that it will run is rented`() {
        val spec = Samples.spec(zone = "a")
        assertEquals(mapOf(Offer("big", "a", true) to 2), rent(spec, 8))
        assertEquals(mapOf(Offer("small", "a", true) to 1), rent(spec, 1))
        assertEquals(mapOf(Offer("big", "a", true) to 1, Offer("small", "a", true) to 1), rent(spec, 5))
        assertEquals(mapOf(Offer("small", "a", true) to 2), rent(spec, 4, refused = setOf(Offer("big", "a", true))))
        assertEquals(mapOf(Offer("big", "a", false) to 1), rent(Samples.spec(zone = "a", preemptible = false), 4))
    }

    @Test
    fun `on-demand machines are rented for preemptible jobs only when they are urgent`() {
        val none = setOf(Offer("big", "a", true), Offer("small", "a", true))
        assertEquals(emptyMap<Offer, Int>(), rent(Samples.spec(zone = "a"), 4, none))
        assertEquals(mapOf(Offer("big", "a", false) to 1), rent(Samples.spec(zone = "a"), 4, none, isUrgent = true))
    }

    @Test
    fun `machines that exist or are requested are used first`() {
        val bins = {
            listOf(
                Bin("h1", "big", "a", false, one),
                Bin("h2", "big", "a", true, one * 2),
                Bin(null, "big", "b", true, one * 4),
            )
        }
        val result = pack(listOf(CapacityDemand(Samples.spec(), 7)), bins())
        assertEquals(PackingResult(emptyMap(), setOf("h1", "h2")), result)
        val kept = pack(listOf(CapacityDemand(Samples.spec(), 7)), bins()) { _, _, preemptible -> preemptible }
        assertEquals(setOf("h2"), kept.usedMachines)
    }

    @Test
    fun `tasks that must be together are packed into one zone`() {
        val bins = listOf(Bin("a1", "big", "a", false, one * 2), Bin("b1", "big", "b", false, one * 2))
        val result =
            pack(
                listOf(CapacityDemand(Samples.spec(jobKind = JobKind.GANG, sameZone = true, preemptible = false), 4)),
                bins,
            )
        assertEquals(setOf("a1"), result.usedMachines)
        assertEquals(setOf("a"), result.newMachines.keys.map { it.zone }.toSet())
    }

    @Test
    fun `a job whose tasks must be together goes where most of them find room`() {
        // The zone of the first free machine may be too small for the gang while another one is not.
        val bins = {
            listOf(
                Bin("a1", "big", "a", false, one * 4),
                Bin("b1", "big", "b", false, one * 4),
                Bin("b2", "big", "b", false, one * 4),
            )
        }
        val gang = Samples.spec(jobKind = JobKind.GANG, sameZone = true, preemptible = false, taskResources = one * 4)
        assertEquals(setOf("b1", "b2"), pack(listOf(CapacityDemand(gang, 2)), bins()).usedMachines)
        assertEquals(mapOf(Offer("big", "b", false) to 2), pack(listOf(CapacityDemand(gang, 4)), bins()).newMachines)
    }

    @Test
    fun `among equal prices the zone with fewer machines per controller is taken`() {
        val load = ZoneLoad { zone, additionalMachines -> (if (zone == "a") 4.0 else 0.0) + additionalMachines }
        val filter = MachineKindFilter { _, _, _ -> true }
        val offers = OfferSelector(machineTypes, filter, load) { offer ->
            if (offer.preemptible && offer.machineType == "big") 3.0 else null
        }
        val demands = listOf(CapacityDemand(Samples.spec(), 24))
        val got = BinPacker(offers, filter, maxNewMachines = 20).pack(demands, emptyList())
        assertEquals(mapOf(Offer("big", "b", true) to 5, Offer("big", "a", true) to 1), got.newMachines)
    }

    @Test
    fun `the machines for one huge array are bounded`() {
        assertEquals(20, rent(Samples.spec(taskCount = 100_000), 100_000).values.sum())
    }
}

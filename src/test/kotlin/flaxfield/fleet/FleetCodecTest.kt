package flaxfield.fleet

import flaxfield.Samples
import flaxfield.codec.Cbor
import flaxfield.jobs.Resources
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class FleetCodecTest {
    private val one = Resources(4.0, 1.0, 16.0)
    private val machineTypes = listOf(
        Samples.machineType("big", one * 4, 8.0, 3.0),
        Samples.machineType("small", one * 2, 6.0, 2.0),
    ).associateBy { it.label }

    @Test
    fun `machines, rentals and types survive the store`() {
        val m = Samples.machine(
            "h",
        ).copy(reservation = MachineReservation("job-1", ULong.MAX_VALUE, 3, true, 7), phase = MachinePhase.RETIRING)
        assertEquals(
            m,
            FleetCodec.decodeMachine(Cbor.decode(Cbor.encode(FleetCodec.encode(m))), "live/host/h", m.version),
        )
        val h = Rental("n-1", "big", "a", true, 4, 9, 2uL)
        assertEquals(h, FleetCodec.decodeRental(Cbor.decode(Cbor.encode(FleetCodec.encode(h))), "live/hire/n-1", 2uL))
        assertEquals(
            machineTypes,
            FleetCodec.machineTypes(Cbor.decode(Cbor.encode(FleetCodec.encodeMachineTypes(machineTypes.values, 5)))),
        )
    }
}

package flaxfield.fleet

import flaxfield.Samples
import flaxfield.codec.Cbor
import flaxfield.jobs.Resources
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class FleetCodecTest {
    private val oneTask = Resources(4.0, 1.0, 16.0)
    private val machineTypes = listOf(
        Samples.machineType("big", oneTask * 4, 8.0, 3.0),
        Samples.machineType("small", oneTask * 2, 6.0, 2.0),
    ).associateBy { it.label }

    @Test
    fun `decodes machines, rentals and machine types as they were encoded`() {
        val reservation = MachineReservation("job-1", ULong.MAX_VALUE, 3, true, 7)
        val machine = Samples.machine("h").copy(reservation = reservation, phase = MachinePhase.RETIRING)
        assertEquals(
            machine,
            FleetCodec.decodeMachine(
                Cbor.decode(Cbor.encode(FleetCodec.encode(machine))),
                "live/host/h",
                machine.version,
            ),
        )
        val rental = Rental("n-1", "big", "a", true, 4, 9, 2uL)
        assertEquals(
            rental,
            FleetCodec.decodeRental(Cbor.decode(Cbor.encode(FleetCodec.encode(rental))), "live/hire/n-1", 2uL),
        )
        assertEquals(
            machineTypes,
            FleetCodec.machineTypes(Cbor.decode(Cbor.encode(FleetCodec.encodeMachineTypes(machineTypes.values, 5)))),
        )
    }
}

package flaxfield.operator

import flaxfield.drain.Capacity
import flaxfield.operator.v1.Capacity as CapacityMessage

/** The message of the operators' contract for this amount. */
internal fun Capacity.toMessage(): CapacityMessage =
    CapacityMessage.newBuilder().setCpus(cpus).setAccelerators(accelerators).build()

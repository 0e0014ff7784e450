package flaxfield.operator

import flaxfield.drain.Capacity
import flaxfield.operator.v1.Capacity as CapacityMessage

/** Converts this capacity to its message in the operators' API. */
internal fun Capacity.toMessage(): CapacityMessage =
    CapacityMessage.newBuilder().setCpus(cpus).setAccelerators(accelerators).build()

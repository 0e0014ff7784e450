package flaxfield.controller

/** The recurring duties of the owner thread, in execution order. */
internal class ControllerDuties(context: ControllerContext, modules: ControllerModules) {
    /** Run at each tick; the renewal of this process's lease and the update of its view come first. */
    val everyTick: List<Duty> = listOfNotNull(
        Duty("members") { modules.membership.tick() },
        Duty("follower") { modules.reflector.tick() },
        Duty("workers") { modules.halts.tick() },
        Duty("jobs") { modules.jobs.tick() },
        Duty("peers") { modules.peers.tick() },
        Duty("stalls") { modules.stalls.tick() },
        modules.subsystem?.let { Duty("subsystem") { it.tick() } },
        modules.zones?.let { Duty("zones") { it.tick() } },
    )

    /** Scales the fleet out and in. Runs at the end of a tick, unless a backlog of heartbeats defers it. */
    val fleet = Duty("fleet") { modules.fleet.run() }

    /** Planning: updates reservations, commits task events, and then places gangs before arrays. */
    val planning: List<Duty> = listOf(
        Duty("reserved") { context.scheduling.refresh() },
        Duty("settlement") { modules.taskEvents.run() },
        Duty("gangs") { modules.gangs.run() },
        Duty("arrays") { modules.arrays.run() },
    )

    /** Sends halt commands to workers at the end of each round of decisions, even if planning was skipped. */
    val halts = Duty("halts") { modules.halts.haltNow() }
}

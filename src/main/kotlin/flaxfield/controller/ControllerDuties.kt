package flaxfield.controller

/** The recurring duties of the owner thread, in the order in which they run. */
internal class ControllerDuties(context: ControllerContext, modules: ControllerModules) {
    /** Run at each tick: this process's own lease and view come before workers, jobs and everything else. */
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

    /** Scales the fleet out and in; run last at a tick, unless a backlog defers it. */
    val fleet = Duty("fleet") { modules.fleet.run() }

    /** Plans work: what is reserved, the ends of tasks, gangs before arrays. */
    val planning: List<Duty> = listOf(
        Duty("reserved") { context.scheduling.refresh() },
        Duty("settlement") { modules.taskEvents.run() },
        Duty("gangs") { modules.gangs.run() },
        Duty("arrays") { modules.arrays.run() },
    )

    /** Tells workers to stop tasks; run at the end of each round of decisions, planned or not. */
    val halts = Duty("halts") { modules.halts.haltNow() }
}

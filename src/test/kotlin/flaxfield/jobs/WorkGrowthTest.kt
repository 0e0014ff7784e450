package flaxfield.jobs

import com.sun.management.ThreadMXBean
import flaxfield.Samples
import flaxfield.store.PlacedTask
import flaxfield.workers.Heartbeat
import flaxfield.workers.HeartbeatReconciler
import flaxfield.workers.TaskState
import flaxfield.workers.TaskStatus
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import java.lang.management.ManagementFactory

/**
 * Guards against review case 4: the end of a gang took work that grew with the square of its tasks. Counts the work at n
 * and at 2n tasks: the bytes that it allocates, or the elements that it reads.
 */
class WorkGrowthTest {
    private class CountingList<T>(private val items: List<T>) : AbstractList<T>() {
        var reads = 0L
            private set
        override val size get() = items.size

        override fun get(index: Int): T {
            reads++
            return items[index]
        }
    }

    private fun placedJob(tasks: Int, kind: JobKind): Job = Samples.job(Samples.spec(jobKind = kind, taskCount = tasks), chunkTasks = 400)
        .place((0 until tasks).associateWith { Job.Target("host-${it / TASKS_PER_MACHINE}", 1uL) }, attempt = 1)

    private fun loss(index: Int) = TaskEvent.Lost("job-1", index, 1, "host-${index / TASKS_PER_MACHINE}", "mates_gone", failed = false)

    private fun records(job: Job): List<PlacedTask> = job.allPlaced().map { PlacedTask(job, it) }.toList()

    private fun heartbeat(tasks: List<TaskStatus>) = Heartbeat("host-0", "10.0.0.1:1", "big", "a", false, 1uL, 1uL, 1uL, null, tasks)

    private fun running(tasks: Int) = (0 until tasks).map { TaskStatus("job-1", it, 1uL, TaskState.RUNNING, null) }

    /** Returns the bytes that [action] allocates. */
    private fun allocatedBytes(action: () -> Any?): Long {
        val threads = ManagementFactory.getThreadMXBean() as ThreadMXBean
        val before = threads.currentThreadAllocatedBytes
        action()
        return threads.currentThreadAllocatedBytes - before
    }

    private fun losses(tasks: Int): Long {
        val gang = placedJob(tasks, JobKind.GANG)
        val events = (0 until tasks).map(::loss)
        return allocatedBytes { TaskEventRules.apply(gang, events, nowMs = 0, backoffMs = 0, tracksLosses = true) }
    }

    private fun completions(tasks: Int): Long {
        val array = placedJob(tasks, JobKind.ARRAY)
        val events = (0 until tasks).map { TaskEvent.Completed("job-1", it, 1) }
        return allocatedBytes { TaskEventRules.apply(array, events, nowMs = 0, backoffMs = 0) }
    }

    private fun stops(tasks: Int): Long {
        val job = placedJob(tasks, JobKind.ARRAY)
        return allocatedBytes { job.stop((0 until tasks).toList()) }
    }

    /** Commits the events of a gang chunk by chunk, as successive runs of the duty do. */
    private fun commits(tasks: Int): Long {
        var gang = placedJob(tasks, JobKind.GANG)
        val pending = PendingTaskEvents(sinceNs = 0)
        for (index in 0 until tasks) pending.add(index / gang.chunkTasks, loss(index))
        return allocatedBytes {
            while (!pending.isEmpty) {
                val number = pending.chunks().first()
                gang = TaskEventRules.apply(gang, pending.current(number, gang), nowMs = 0, backoffMs = 0)
                pending.current(number, gang)
            }
        }
    }

    private fun directHalts(tasks: Int): Long {
        val reported = CountingList(running(tasks))
        val cancelled = placedJob(tasks, JobKind.GANG).copy(cancelledMs = 1)
        val halts = HeartbeatReconciler.directHalts(records(cancelled), heartbeat(reported), heartbeatOverdue = false, mayStop = true)
        check(halts.isNotEmpty())
        return reported.reads
    }

    private fun reconciliation(tasks: Int): Long {
        val gang = placedJob(tasks, JobKind.GANG)
        val heartbeat = heartbeat(running(tasks))
        val records = records(gang)
        return allocatedBytes { HeartbeatReconciler.decide(heartbeat, records, 1uL, mayLaunch = true) }
    }

    @TestFactory
    fun `work grows in proportion to the tasks of a job`(): List<DynamicTest> = listOf<Pair<String, (Int) -> Long>>(
        "losses of a gang" to ::losses,
        "completions of an array" to ::completions,
        "stops of an array" to ::stops,
        "commits of a gang's losses" to ::commits,
        "direct halts" to ::directHalts,
        "reconciliation of a heartbeat" to ::reconciliation,
    ).map { (name, work) ->
        dynamicTest(name) {
            work(TASKS) // The first run also loads classes.
            val once = work(TASKS)
            val twice = work(2 * TASKS)
            assertTrue(twice < once * MAX_GROWTH, "$once at $TASKS tasks, $twice at ${2 * TASKS}")
        }
    }

    private companion object {
        const val TASKS = 2_000
        const val TASKS_PER_MACHINE = 800

        /** Between 2, for work in proportion to the tasks, and 4, for work that grows with their square. */
        const val MAX_GROWTH = 3.0
    }
}

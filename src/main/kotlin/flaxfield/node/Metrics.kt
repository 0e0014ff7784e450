package flaxfield.node

import io.micrometer.core.instrument.Meter
import io.micrometer.core.instrument.Statistic
import io.micrometer.core.instrument.Timer
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import java.util.concurrent.TimeUnit

/** Timers and counters of one process, as `GET /metrics` shows them: one line a figure. */
class Metrics {
    private val registry = SimpleMeterRegistry()
    private val timers = HashMap<String, Timer>()
    private val refusals = registry.counter("flaxfield.refused")

    fun refused() = refusals.increment()

    /** Counts one handled request by its first path element, so that ids do not become names. */
    fun handled(path: String, ns: Long) {
        val name = when {
            path.endsWith("/cancel") -> "cancel"
            path.startsWith("/work/") -> "status"
            path in KNOWN -> path.substring(1)
            else -> "other"
        }
        timers.getOrPut(name) { registry.timer("flaxfield.requests", "path", name) }.record(ns, TimeUnit.NANOSECONDS)
    }

    fun text(): String = buildString {
        for (m in registry.meters) {
            val id = m.id
            val tags = id.tags.joinToString(",") { "${it.key}=\"${it.value}\"" }
            for (v in m.measure()) append(line(id, v.statistic, tags, v.value))
        }
    }

    private fun line(id: Meter.Id, s: Statistic, tags: String, value: Double): String {
        val name = id.name.replace('.', '_') + "_" + s.tagValueRepresentation
        return if (tags.isEmpty()) "$name $value\n" else "$name{$tags} $value\n"
    }

    private companion object {
        val KNOWN = setOf("/hello", "/work", "/ready", "/metrics")
    }
}

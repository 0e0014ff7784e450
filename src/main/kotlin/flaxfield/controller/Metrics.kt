package flaxfield.controller

import io.micrometer.core.instrument.FunctionCounter
import io.micrometer.core.instrument.FunctionTimer
import io.micrometer.core.instrument.Meter
import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Statistic
import io.micrometer.core.instrument.TimeGauge
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong

/** What a request asks for, as the metrics tell requests apart: by path, without the ids in it. */
enum class RequestKind { HELLO, WORK, STATUS, CANCEL, READY, METRICS, OTHER }

/** The kind of a request to [path]. */
fun requestKind(path: String): RequestKind = when {
    path == "/hello" -> RequestKind.HELLO
    path == "/work" -> RequestKind.WORK
    path == "/ready" -> RequestKind.READY
    path == "/metrics" -> RequestKind.METRICS
    path.endsWith("/cancel") -> RequestKind.CANCEL
    path.startsWith("/work/") -> RequestKind.STATUS
    else -> RequestKind.OTHER
}

/**
 * Counts and times of one process, as `GET /metrics` shows them: one line a figure. Requests are counted in plain
 * numbers; the registry that names them is made when it is first asked for, since a start has no time for it.
 */
class Metrics {
    private class RequestTimes {
        var count = 0L
        var totalNs = 0L
        var maxNs = 0L
    }

    private val times = RequestKind.entries.associateWith { RequestTimes() }
    private val refusals = AtomicLong()
    private val registry: MeterRegistry by lazy(LazyThreadSafetyMode.NONE, ::namedMeters)

    /** Counts one request that was refused at once; safe from any thread. */
    fun refused() {
        refusals.incrementAndGet()
    }

    /** Counts one request that took [ns] of the owner thread. */
    fun handled(kind: RequestKind, ns: Long) {
        val spent = times.getValue(kind)
        spent.count++
        spent.totalNs += ns
        if (ns > spent.maxNs) spent.maxNs = ns
    }

    /** All figures of kinds that have been asked for. */
    fun text(): String = buildString {
        for (meter in registry.meters) {
            val tags = meter.id.tags.joinToString(",") { "${it.key}=\"${it.value}\"" }
            for (measured in meter.measure()) append(line(meter.id, measured.statistic, tags, measured.value))
        }
    }

    private fun namedMeters(): MeterRegistry {
        val named = SimpleMeterRegistry()
        FunctionCounter.builder("flaxfield.refused", refusals) { it.get().toDouble() }.register(named)
        for ((kind, spent) in times) nameTimes(named, kind.name.lowercase(), spent)
        return named
    }

    private fun nameTimes(named: MeterRegistry, path: String, spent: RequestTimes) {
        FunctionTimer.builder("flaxfield.requests", spent, {
            it.count
        }, { it.totalNs.toDouble() }, TimeUnit.NANOSECONDS)
            .tag("path", path)
            .register(named)
        TimeGauge.builder("flaxfield.requests.max", spent, TimeUnit.NANOSECONDS) { it.maxNs.toDouble() }
            .tag("path", path)
            .register(named)
    }

    private fun line(id: Meter.Id, statistic: Statistic, tags: String, value: Double): String {
        // The statistic of a gauge says nothing that its name does not.
        val name =
            id.name.replace('.', '_') + if (statistic == Statistic.VALUE) "" else "_" + statistic.tagValueRepresentation
        return if (tags.isEmpty()) "$name $value\n" else "$name{$tags} $value\n"
    }
}

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

/**
 * Counts and times of requests, as `GET /metrics` shows them: one line a figure. Requests are counted in plain fields;
 * the registry that names them is made when it is first asked for, since a start has no time for it. Owned by the owner
 * thread, but for [countRejected].
 */
class Metrics {
    private class RequestTimes {
        var count = 0L
        var totalNs = 0L
        var maxNs = 0L
    }

    private val timesByKind = RequestKind.entries.associateWith { RequestTimes() }
    private val refusals = AtomicLong()
    private val registry: MeterRegistry by lazy(LazyThreadSafetyMode.NONE, ::makeRegistry)

    /** Counts one request that was refused at once; safe from any thread. */
    fun countRejected() {
        refusals.incrementAndGet()
    }

    /** Counts one request that took [elapsedNs] of the owner thread. */
    fun recordRequest(kind: RequestKind, elapsedNs: Long) {
        val times = timesByKind.getValue(kind)
        times.count++
        times.totalNs += elapsedNs
        if (elapsedNs > times.maxNs) times.maxNs = elapsedNs
    }

    /** All figures, one line each. */
    fun text(): String = buildString {
        for (meter in registry.meters) {
            val tags = meter.id.tags.joinToString(",") { "${it.key}=\"${it.value}\"" }
            for (measurement in meter.measure()) {
                append(line(meter.id, measurement.statistic, tags, measurement.value))
            }
        }
    }

    private fun makeRegistry(): MeterRegistry {
        val registry = SimpleMeterRegistry()
        FunctionCounter.builder("flaxfield.refused", refusals) { it.get().toDouble() }.register(registry)
        for ((kind, times) in timesByKind) registerTimes(registry, kind.name.lowercase(), times)
        return registry
    }

    private fun registerTimes(registry: MeterRegistry, path: String, times: RequestTimes) {
        FunctionTimer
            .builder("flaxfield.requests", times, { it.count }, { it.totalNs.toDouble() }, TimeUnit.NANOSECONDS)
            .tag("path", path)
            .register(registry)
        TimeGauge.builder("flaxfield.requests.max", times, TimeUnit.NANOSECONDS) { it.maxNs.toDouble() }
            .tag("path", path)
            .register(registry)
    }

    private fun line(id: Meter.Id, statistic: Statistic, tags: String, value: Double): String {
        // The statistic of a gauge says nothing that its name does not.
        val suffix = if (statistic == Statistic.VALUE) "" else "_" + statistic.tagValueRepresentation
        val name = id.name.replace('.', '_') + suffix
        return if (tags.isEmpty()) "$name $value\n" else "$name{$tags} $value\n"
    }
}

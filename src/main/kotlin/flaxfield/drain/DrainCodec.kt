package flaxfield.drain

import flaxfield.codec.FieldMap
import flaxfield.codec.MalformedException
import flaxfield.jobs.TaskId

/** Stored forms of the drain records. */
object DrainCodec {
    fun encode(d: DrainRecord): Map<String, Any?> = mapOf(
        "selector" to encode(d.selector),
        "at" to d.orderedMs,
        "phase" to d.phase.name.lowercase(),
        "target" to d.target,
        "cordoned" to d.cordoned,
        "note" to d.note,
    )

    fun drain(id: String, o: FieldMap, version: ULong) = DrainRecord(
        id,
        selector(o.requireMap("selector")),
        o.requireUnsigned("at").toLong(),
        DrainPhase.valueOf(o.requireText("phase").uppercase()),
        o.int("target"),
        o.requireInt("cordoned"),
        o.text("note").orEmpty(),
        version,
    )

    private fun encode(s: Selector): Map<String, Any?> = mapOf(
        "machines" to s.machines.sorted(),
        "type" to s.machineType,
        "zone" to s.zone,
        "older_than_s" to s.olderThanS,
        "percent" to s.percent,
    )

    private fun selector(o: FieldMap) = Selector(
        o.textList("machines").orEmpty().toSet(),
        o.text("type"),
        o.text("zone"),
        o.number("older_than_s"),
        o.number("percent"),
    )

    fun encode(ledger: Ledger): Map<String, Any?> = mapOf(
        "entries" to ledger.entries.map { (task, d) -> listOf(task.job, task.index, d.attempt, d.drain) },
    )

    fun ledger(team: String, o: FieldMap, version: ULong) = Ledger(
        team,
        o.list("entries").orEmpty().associate { row ->
            row as List<*>
            TaskId(row[0] as String, (row[1] as Number).toInt()) to
                Disruption((row[2] as Number).toLong(), row[3] as String)
        },
        version,
    )

    fun encode(c: FleetConfig): Map<String, Any?> = mapOf(
        "run" to c.incarnation,
        "budgets" to c.budgets.mapValues { encode(it.value) },
        "default_budget" to encode(c.defaultBudget),
        "classes" to c.classes.mapValues { it.value.name.lowercase() },
        "default_repeat" to c.defaultRepeat.name.lowercase(),
        "surge_machines" to c.surgeMachines,
        "max_cordoned" to c.maxCordoned,
        "recovery_tiers" to c.recoveryTiers,
    )

    fun config(o: FieldMap) = FleetConfig(
        o.requireText("run"),
        o.requireMap("budgets").let { all -> all.map.keys.associateWith { limit(all.requireMap(it)) } },
        limit(o.requireMap("default_budget")),
        o.requireMap("classes").let { all -> all.map.keys.associateWith { repeat(all.requireText(it)) } },
        repeat(o.requireText("default_repeat")),
        o.requireInt("surge_machines"),
        o.requireInt("max_cordoned"),
        o.obj("recovery_tiers")?.let { all -> all.map.keys.associateWith { all.requireInt(it) } }.orEmpty(),
    )

    private fun encode(limit: BudgetLimit): Map<String, Any?> = when (limit) {
        is BudgetLimit.Absolute -> mapOf("cpus" to limit.amount.cpus, "accelerators" to limit.amount.accelerators)
        is BudgetLimit.Percent -> mapOf("percent" to limit.percent)
    }

    private fun limit(o: FieldMap): BudgetLimit {
        val percent = o.number("percent")
        if (percent != null) return BudgetLimit.Percent(percent)
        return BudgetLimit.Absolute(Capacity(o.requireNumber("cpus"), o.requireNumber("accelerators")))
    }

    private fun repeat(text: String): RepeatPolicy = RepeatPolicy.entries.firstOrNull { it.name.lowercase() == text }
        ?: throw MalformedException("repeat policy $text")
}

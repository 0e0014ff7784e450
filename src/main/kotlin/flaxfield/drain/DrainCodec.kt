package flaxfield.drain

import flaxfield.codec.FieldMap
import flaxfield.codec.MalformedException
import flaxfield.jobs.TaskId

/** Encodes and decodes the stored records of drains. Field names and values are stored data and must not change. */
object DrainCodec {
    /** Returns the stored value of a drain; its id is part of the key. */
    fun encode(drain: DrainRecord): Map<String, Any?> = mapOf(
        "selector" to encode(drain.selector),
        "at" to drain.orderedMs,
        "phase" to drain.phase.name.lowercase(),
        "target" to drain.target,
        "cordoned" to drain.cordoned,
        "note" to drain.note,
    )

    /** Decodes the drain with the given [id], stored at [version]; throws [MalformedException]. */
    fun drain(id: String, fields: FieldMap, version: ULong) = DrainRecord(
        id,
        selector(fields.requireMap("selector")),
        fields.requireUnsigned("at").toLong(),
        DrainPhase.valueOf(fields.requireText("phase").uppercase()),
        fields.int("target"),
        fields.requireInt("cordoned"),
        fields.text("note").orEmpty(),
        version,
    )

    private fun encode(selector: Selector): Map<String, Any?> = mapOf(
        "machines" to selector.machines.sorted(),
        "type" to selector.machineType,
        "zone" to selector.zone,
        "older_than_s" to selector.olderThanS,
        "percent" to selector.percent,
    )

    private fun selector(fields: FieldMap) = Selector(
        fields.textList("machines").orEmpty().toSet(),
        fields.text("type"),
        fields.text("zone"),
        fields.number("older_than_s"),
        fields.number("percent"),
    )

    /** Returns the stored value of a ledger; its team is part of the key. */
    fun encode(ledger: Ledger): Map<String, Any?> = mapOf(
        "entries" to ledger.entries.map { (task, disruption) ->
            listOf(task.job, task.index, disruption.attempt, disruption.drain)
        },
    )

    /** Decodes the ledger of [team], stored at [version]. */
    fun ledger(team: String, fields: FieldMap, version: ULong) = Ledger(
        team,
        fields.list("entries").orEmpty().associate { row ->
            row as List<*>
            TaskId(row[0] as String, (row[1] as Number).toInt()) to
                Disruption((row[2] as Number).toLong(), row[3] as String)
        },
        version,
    )

    /** Returns the stored value of a controller's fleet file. */
    fun encode(config: FleetConfig): Map<String, Any?> = mapOf(
        "run" to config.incarnation,
        "budgets" to config.budgets.mapValues { encode(it.value) },
        "default_budget" to encode(config.defaultBudget),
        "classes" to config.classes.mapValues { it.value.name.lowercase() },
        "default_repeat" to config.defaultRepeat.name.lowercase(),
        "surge_machines" to config.surgeMachines,
        "max_cordoned" to config.maxCordoned,
        "recovery_tiers" to config.recoveryTiers,
    )

    /** Decodes a controller's fleet file; throws [MalformedException]. */
    fun config(fields: FieldMap) = FleetConfig(
        fields.requireText("run"),
        fields.requireMap("budgets").let { all -> all.map.keys.associateWith { limit(all.requireMap(it)) } },
        limit(fields.requireMap("default_budget")),
        fields.requireMap("classes").let { all -> all.map.keys.associateWith { repeatPolicy(all.requireText(it)) } },
        repeatPolicy(fields.requireText("default_repeat")),
        fields.requireInt("surge_machines"),
        fields.requireInt("max_cordoned"),
        fields.nestedMap("recovery_tiers")?.let { all -> all.map.keys.associateWith { all.requireInt(it) } }.orEmpty(),
    )

    private fun encode(limit: BudgetLimit): Map<String, Any?> = when (limit) {
        is BudgetLimit.Absolute -> mapOf("cpus" to limit.amount.cpus, "accelerators" to limit.amount.accelerators)
        is BudgetLimit.Percent -> mapOf("percent" to limit.percent)
    }

    private fun limit(fields: FieldMap): BudgetLimit {
        val percent = fields.number("percent")
        if (percent != null) return BudgetLimit.Percent(percent)
        return BudgetLimit.Absolute(Capacity(fields.requireNumber("cpus"), fields.requireNumber("accelerators")))
    }

    private fun repeatPolicy(text: String): RepeatPolicy =
        RepeatPolicy.entries.firstOrNull { it.name.lowercase() == text }
            ?: throw MalformedException("unknown repeat policy '$text'")
}

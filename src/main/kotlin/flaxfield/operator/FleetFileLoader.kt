package flaxfield.operator

import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.ObjectMapper
import com.networknt.schema.JsonSchema
import com.networknt.schema.JsonSchemaFactory
import com.networknt.schema.SpecVersion
import flaxfield.codec.MalformedException
import flaxfield.drain.BudgetLimit
import flaxfield.drain.Capacity
import flaxfield.drain.FleetConfig
import flaxfield.drain.RepeatPolicy
import flaxfield.settings.Address
import flaxfield.settings.Settings
import java.io.File
import java.io.IOException

/** Reads fleet files, and validates them against their schema and the platform's settings. */
object FleetFileLoader {
    private const val SCHEMA = "/schema/fleet-1.schema.json"
    private const val DEFAULT_SURGE_MACHINES = 2
    private const val UNLIMITED = Int.MAX_VALUE
    private val mapper = ObjectMapper()

    /** Reads the file at [path]; throws [FleetFileException] with all of its faults. */
    fun load(path: String, settings: Settings): FleetFile {
        val text = try {
            File(path).readText()
        } catch (e: IOException) {
            throw FleetFileException(listOf("fleet file $path: ${e.message}"), e)
        }
        return parse(text, settings) { "fleet file $path: $it" }
    }

    /** Parses [text]; [describe] turns a fault into a line. */
    fun parse(text: String, settings: Settings, describe: (String) -> String): FleetFile {
        val root = try {
            mapper.readTree(text)
        } catch (e: JsonProcessingException) {
            throw FleetFileException(listOf(describe("not JSON: ${e.originalMessage}")), e)
        }
        val faults = schema().validate(root).map { it.message } + unknownNames(root, settings)
        if (faults.isNotEmpty()) throw FleetFileException(faults.map(describe))
        return try {
            read(root)
        } catch (e: MalformedException) {
            throw FleetFileException(listOf(describe("$.listen: ${e.message}")), e)
        }
    }

    private fun schema(): JsonSchema {
        val stream = checkNotNull(FleetFileLoader::class.java.getResourceAsStream(SCHEMA)) { "no $SCHEMA in the jar" }
        return stream.use { JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012).getSchema(it) }
    }

    private fun unknownNames(root: JsonNode, settings: Settings): List<String> {
        val classes = settings.objectives.mapTo(HashSet()) { it.jobClass }
        val unknownTeams = names(root, "budgets")
            .filter { it !in settings.teams }
            .map { "$.budgets.$it: no such team in the settings" }
        val unknownClasses = listOf("classes", "recovery_tiers").flatMap { field ->
            names(root, field)
                .filter { it !in classes }
                .map { "$.$field.$it: no such class in the settings" }
        }
        return unknownTeams + unknownClasses
    }

    private fun names(root: JsonNode, field: String): List<String> = root.path(field).fieldNames().asSequence().toList()

    private fun read(root: JsonNode) = FleetFile(
        Address.parse(root.path("listen").asText()),
        FleetConfig(
            incarnation = "",
            budgets = names(root, "budgets").associateWith { limit(root.path("budgets").path(it)) },
            defaultBudget = limit(root.path("default_budget")),
            classes = names(root, "classes").associateWith { repeat(root.path("classes").path(it).asText()) },
            defaultRepeat = repeat(root.path("default_repeat").asText(RepeatPolicy.CHECKPOINTED.name)),
            surgeMachines = root.path("surge_machines").asInt(DEFAULT_SURGE_MACHINES),
            maxCordoned = root.path("max_cordoned").asInt(UNLIMITED),
            recoveryTiers = names(root, "recovery_tiers").associateWith {
                root.path("recovery_tiers").path(it).asInt()
            },
        ),
    )

    private fun limit(node: JsonNode): BudgetLimit = if (node.has("percent")) {
        BudgetLimit.Percent(node.path("percent").asDouble())
    } else {
        BudgetLimit.Absolute(Capacity(node.path("cpus").asDouble(), node.path("accelerators").asDouble()))
    }

    private fun repeat(text: String) = RepeatPolicy.valueOf(text.uppercase())
}

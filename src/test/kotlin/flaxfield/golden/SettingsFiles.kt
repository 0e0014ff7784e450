package flaxfield.golden

import flaxfield.codec.Json
import flaxfield.codec.MalformedException
import flaxfield.drain.BudgetLimit
import flaxfield.drain.Capacity
import flaxfield.drain.FleetConfig
import flaxfield.drain.RepeatPolicy
import flaxfield.golden.GoldenCases.fileDecode
import flaxfield.golden.GoldenCases.textOnly
import flaxfield.operator.FleetFile
import flaxfield.operator.FleetFileException
import flaxfield.operator.FleetFileLoader
import flaxfield.settings.Address
import flaxfield.settings.Objective
import flaxfield.settings.OperatorSettings
import flaxfield.settings.Peer
import flaxfield.settings.Settings
import flaxfield.settings.StateLimits
import flaxfield.settings.Team
import flaxfield.settings.WorkerTimes
import java.io.File
import java.util.Properties

/** The files that operators and the platform write, and the one-line messages about bad ones. */
object SettingsFiles {
    val settingsText = """
        {"node_name":"n-0","zone":"a","serve_on":"127.0.0.1:8080","internal_addr":"127.0.0.1:8081","later":{"x":1},
         "others":[{"node_name":"n-1","zone":"b","peer_addr":"127.0.0.1:8082"}],
         "external":{"cloud":"127.0.0.1:1","state":"127.0.0.1:2"},
         "deployment":{"size":2,"zones":["a","b"],
          "teams":[{"name":"red","gpus":2.0,"gpus_max":4.0,"cpus":8.0,"cpus_max":16.0},{"name":"blue"}],
          "objectives":[{"kind":"wait","class":"train","within_s":30.0,"share":0.9}],
          "workers":{"report_s":2.0,"lease_s":12.0,"gang_wait_s":45.0,"gang_peer_s":8.0,"cancel_s":42.0},
          "state":{"rps":150.0,"write_rps":30.0,"value_kb":32.0,"txn_ops":24},"cloud":{"rps":2.0,"list_lag_s":5.0},
          "quota":{"cpu_share":0.051,"mem_mb":147.0,"fd_limit":1667}}}
    """.trimIndent() + "\n"

    val settings = Settings(
        nodeName = "n-0",
        zone = "a",
        serveOn = Address("127.0.0.1", 8080),
        internalAddr = Address("127.0.0.1", 8081),
        peers = listOf(Peer("n-1", Address("127.0.0.1", 8082))),
        cloud = Address("127.0.0.1", 1),
        state = Address("127.0.0.1", 2),
        size = 2,
        teams = mapOf("red" to Team("red", 8.0, 16.0, 2.0, 4.0), "blue" to Team("blue", 0.0, 0.0, 0.0, 0.0)),
        objectives = listOf(Objective("wait", "train", 30.0, 0.9)),
        workers = WorkerTimes(2.0, 12.0, 45.0, 8.0, 42.0),
        stateLimits = StateLimits(150.0, 30.0, 32.0, 24),
        cloudRps = 2.0,
        listLagS = 5.0,
        maxSockets = 1667,
        zones = 2,
    )

    private val propertiesText = """
        fleet.keep-idle-boots = 1.5
        fleet.spare-factor = 2.5
        fleet.array-spare-factor = 0.25
        node.queue-commands = 100
        jobs.finished-cache = 200
        zones.recovery = true
    """.trimIndent() + "\n"

    private val operatorSettings = OperatorSettings(1.5, 2.5, 0.25, 100, 200, true)

    private val fleetText = """
        {"version": 1, "listen": "10.0.0.1:9443", "default_budget": {"percent": 10},
         "budgets": {"red": {"cpus": 16, "accelerators": 4.5}}, "classes": {"train": "never"}, "default_repeat": "any",
         "surge_machines": 4, "max_cordoned": 200, "recovery_tiers": {"train": 0}}
    """.trimIndent() + "\n"

    private val fleetFile = FleetFile(
        Address("10.0.0.1", 9443),
        FleetConfig(
            "",
            mapOf("red" to BudgetLimit.Absolute(Capacity(16.0, 4.5))),
            BudgetLimit.Percent(10.0),
            mapOf("train" to RepeatPolicy.NEVER),
            RepeatPolicy.ANY,
            4,
            200,
            mapOf("train" to 0),
        ),
    )

    private val deployedFleetFile = FleetFile(
        Address("127.0.0.1", 9443),
        FleetConfig("", emptyMap(), BudgetLimit.Percent(10.0), emptyMap(), RepeatPolicy.CHECKPOINTED, 4, 200),
    )

    private val files = listOf(
        fileDecode("settings.json", settingsText, settings) { Settings.of(Json.decode(it.toByteArray())) },
        fileDecode("operator.properties", propertiesText, operatorSettings, ::properties),
        fileDecode(
            "zones.properties",
            deployed("zones.properties"),
            OperatorSettings(zoneRecovery = true),
            ::properties,
        ),
        fileDecode("fleet.json", fleetText, fleetFile, ::fleet),
        fileDecode("fleet-deployed.json", deployed("fleet.json"), deployedFleetFile, ::fleet),
    )

    private fun deployed(name: String) = File("deploy", name).readText()

    private fun properties(text: String): OperatorSettings {
        val properties = Properties().apply { load(text.reader()) }
        return OperatorSettings.of(properties.stringPropertyNames().associateWith { properties.getProperty(it).trim() })
    }

    private fun fleet(text: String) = FleetFileLoader.parse(text, settings) { it }

    private val settingsChanges = listOf(
        "\"node_name\":\"n-0\"," to "",
        "127.0.0.1:8080" to "nowhere",
        "\"external\":" to "\"outside\":",
        "\"lease_s\":12.0" to "\"lease_s\":0",
        "\"rps\":150.0" to "\"rps\":\"many\"",
        "\"fd_limit\":1667" to "\"fd_limit\":0",
        "\"fd_limit\":1667" to "\"fd_limit\":\"few\"",
        "\"cpu_share\":0.051" to "\"cpu_share\":0.005",
        "\"mem_mb\":147.0" to "\"mem_mb\":64",
        "{\"node_name\"" to "[\"node_name\"",
    )

    private val badProperties = listOf(
        "fleet.spare" to "1",
        "fleet.spare-factor" to "-1",
        "fleet.keep-idle-boots" to "x",
        "node.queue-commands" to "1.5",
        "jobs.finished-cache" to "-1",
        "zones.recovery" to "yes",
    )

    private val badFleetFiles = listOf(
        """{"version": 2, "listen": "here", "default_budget": {"percent": 101}, "surge_machines": -1, "colour": "red",
            "budgets": {"green": {"percent": 5}}, "classes": {"night": "any", "train": "often"},
            "recovery_tiers": {"early": 1, "train": 10}}""",
        "[]",
        "{",
        """{"version": 1}""",
        """{"version": 1, "listen": "10.0.0.1:99999", "default_budget": {"percent": 1}}""",
    )

    private val messages = listOf(
        textOnly("bad-settings.txt") {
            settingsChanges.joinToString("") { (from, to) ->
                message { Settings.of(Json.decode(settingsText.replace(from, to).toByteArray())) }
            } + message { Settings.load("does/not/exist") }
        },
        textOnly("bad-properties.txt") {
            badProperties.joinToString("") { message { OperatorSettings.of(mapOf(it)) } } +
                message { OperatorSettings.load("does/not/exist") }
        },
        textOnly("bad-fleet-files.txt") {
            badFleetFiles.joinToString("") { text ->
                message { FleetFileLoader.parse(text, settings) { "fleet file f: $it" } }
            } +
                message { FleetFileLoader.load("does/not/exist", settings) }
        },
    )

    private fun message(read: () -> Any): String = try {
        "taken: ${read()}\n"
    } catch (e: MalformedException) {
        e.message + "\n"
    } catch (e: FleetFileException) {
        e.message + "\n"
    }

    val suite = GoldenSuite("files", files + messages)
}

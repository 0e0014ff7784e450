package flaxfield.cli

import picocli.CommandLine
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Model.OptionSpec

private const val VERSION = "flaxfield 0.1.0"

/** Creates the command line of the service. Built without annotations, which would cost reflection at each start. */
fun commandLine(): CommandLine {
    val root = CommandSpec.create().name("flaxfield").version(VERSION)
    root.usageMessage().description("A cluster scheduler that places gangs all-or-nothing and arrays incrementally.")
    root.usageMessage().footer("Operator commands (see --help of each): drain, budget, machines, explain, zone.")
    root.addStandardOptions()
    root.addSubcommand("serve", serveCommand())
    return CommandLine(root)
}

private fun serveCommand(): CommandSpec {
    val serve = CommandSpec.create().name("serve").version(VERSION)
    serve.usageMessage().description("Runs a controller until it is terminated.")
    serve.addOption(fileOption("--config").required(true).description("the JSON settings file of the platform").build())
    serve.addOption(fileOption("--properties").description("the properties file with the operators' settings").build())
    serve.addOption(
        fileOption("--fleet")
            .description("the fleet file: disruption budgets, restart policies and the address of the operator service")
            .build(),
    )
    serve.addStandardOptions()
    return serve
}

private fun fileOption(name: String): OptionSpec.Builder =
    OptionSpec.builder(name).paramLabel("FILE").type(String::class.java)

/**
 * Adds `--help` and `--version`. picocli's standard mixin for them is read from annotations, which took a quarter of
 * the CPU time of a start.
 */
private fun CommandSpec.addStandardOptions() {
    addOption(
        OptionSpec.builder("-h", "--help")
            .usageHelp(true)
            .description("Show this help message and exit.")
            .build(),
    )
    addOption(
        OptionSpec.builder("-V", "--version")
            .versionHelp(true)
            .description("Print version information and exit.")
            .build(),
    )
}

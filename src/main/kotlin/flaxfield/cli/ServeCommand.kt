package flaxfield.cli

import picocli.CommandLine
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Model.OptionSpec

private const val VERSION = "flaxfield 0.1.0"

/** The command line of the service. Built by hand, since annotations would cost reflection at each start. */
fun commandLine(): CommandLine {
    val root = CommandSpec.create().name("flaxfield").version(VERSION)
    root.usageMessage().description("A cluster scheduler that places gangs all-or-nothing and arrays by parts.")
    root.usageMessage().footer("Operators' commands, each with its own --help: drain, budget, machines, explain, zone.")
    root.addStandardOptions()
    root.addSubcommand("serve", serveCommand())
    return CommandLine(root)
}

private fun serveCommand(): CommandSpec {
    val serve = CommandSpec.create().name("serve").version(VERSION)
    serve.usageMessage().description("Runs one controller until it is killed.")
    serve.addOption(fileOption("--config").required(true).description("the platform's JSON settings file").build())
    serve.addOption(fileOption("--properties").description("the operators' own settings").build())
    serve.addOption(
        fileOption("--fleet")
            .description("the operators' fleet file: budgets, repeat policies and where operators are served")
            .build(),
    )
    serve.addStandardOptions()
    return serve
}

private fun fileOption(name: String): OptionSpec.Builder =
    OptionSpec.builder(name).paramLabel("FILE").type(String::class.java)

/** picocli's own mixin for these is read from annotations, which took a quarter of a start's processor time. */
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

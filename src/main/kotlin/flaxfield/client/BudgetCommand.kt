package flaxfield.client

import picocli.CommandLine.Command
import picocli.CommandLine.Parameters

/** Shows the teams' disruption budgets; see docs/operating-drains.md. */
@Command(
    name = "budget",
    description = ["Shows the teams' disruption budgets and how much of them is used."],
    mixinStandardHelpOptions = true,
    subcommands = [BudgetList::class, BudgetShow::class],
)
internal class BudgetCommand

@Command(name = "list", description = ["Lists the disruption budgets of all teams."], mixinStandardHelpOptions = true)
private class BudgetList : ControllerCommand() {
    override fun run(client: OperatorClient): ExitCode {
        Output.budgets(client.call { it.listBudgets(options.readRequest()) }, options.output)
        return ExitCode.OK
    }
}

@Command(
    name = "show",
    description = ["Shows a team's disruption budget and what uses it."],
    mixinStandardHelpOptions = true,
)
private class BudgetShow : ControllerCommand() {
    @Parameters(paramLabel = "TEAM")
    lateinit var team: String

    override fun run(client: OperatorClient): ExitCode {
        Output.budget(client.call { it.showBudget(options.showRequest(team)) }, options.output)
        return ExitCode.OK
    }
}

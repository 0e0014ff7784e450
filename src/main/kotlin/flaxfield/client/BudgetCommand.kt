package flaxfield.client

import picocli.CommandLine.Command
import picocli.CommandLine.Parameters

/** `budget`: shows the teams' disruption budgets; see docs/operating-drains.md. */
@Command(
    name = "budget",
    description = ["Tells what teams may lack and what they do lack."],
    mixinStandardHelpOptions = true,
    subcommands = [BudgetList::class, BudgetShow::class],
)
internal class BudgetCommand

@Command(name = "list", description = ["Lists the budgets of all teams."], mixinStandardHelpOptions = true)
private class BudgetList : ControllerCommand() {
    override fun run(client: OperatorClient): ExitCode {
        Output.budgets(client.call { it.listBudgets(options.read()) }, options.output)
        return ExitCode.OK
    }
}

@Command(
    name = "show",
    description = ["Shows one team's budget, and by whom it is spent."],
    mixinStandardHelpOptions = true,
)
private class BudgetShow : ControllerCommand() {
    @Parameters(paramLabel = "TEAM")
    lateinit var team: String

    override fun run(client: OperatorClient): ExitCode {
        Output.budget(client.call { it.showBudget(options.show(team)) }, options.output)
        return ExitCode.OK
    }
}

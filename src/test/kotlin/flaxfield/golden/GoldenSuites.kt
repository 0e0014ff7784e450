package flaxfield.golden

/** All suites, each with a directory of its own. */
object GoldenSuites {
    val all = listOf(
        StoredRecords.suite,
        WorkerProtocol.suite,
        UserProtocol.suite,
        StateServiceProtocol.suite,
        CloudProtocol.suite,
        PeerProtocol.suite,
        SettingsFiles.suite,
        Transactions.suite,
        MetricsText.suite,
        OperatorMessages.suite,
        CommandLineEnds.suite,
    )
}

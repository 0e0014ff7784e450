package flaxfield.golden

/** All suites; each has its own fixture directory. */
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
        CommandLineExits.suite,
    )
}

package flaxfield.golden

class WorkerProtocolGoldenTest : GoldenFixtureTest(WorkerProtocol.suite)

package flaxfield.golden

class StateServiceGoldenTest : GoldenFixtureTest(StateServiceProtocol.suite)

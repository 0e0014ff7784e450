package flaxfield.golden

class OperatorGoldenTest : GoldenFixtureTest(OperatorMessages.suite)

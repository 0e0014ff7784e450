package flaxfield.golden

class CloudGoldenTest : GoldenFixtureTest(CloudProtocol.suite)

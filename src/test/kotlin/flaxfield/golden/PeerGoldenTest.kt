package flaxfield.golden

class PeerGoldenTest : GoldenFixtureTest(PeerProtocol.suite)

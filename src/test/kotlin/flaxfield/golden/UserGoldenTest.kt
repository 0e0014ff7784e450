package flaxfield.golden

class UserGoldenTest : GoldenFixtureTest(UserProtocol.suite)

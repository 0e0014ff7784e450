package flaxfield.golden

class CommandLineExitsGoldenTest : GoldenFixtureTest(CommandLineExits.suite)

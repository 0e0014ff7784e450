package flaxfield.golden

class CommandLineEndsGoldenTest : GoldenFixtureTest(CommandLineEnds.suite)

package flaxfield.golden

class MetricsGoldenTest : GoldenFixtureTest(MetricsText.suite)

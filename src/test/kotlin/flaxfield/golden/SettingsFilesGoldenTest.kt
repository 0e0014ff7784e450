package flaxfield.golden

class SettingsFilesGoldenTest : GoldenFixtureTest(SettingsFiles.suite)

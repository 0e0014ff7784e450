package flaxfield.golden

class StoredRecordsGoldenTest : GoldenFixtureTest(StoredRecords.suite)

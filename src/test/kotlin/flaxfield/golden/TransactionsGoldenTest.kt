package flaxfield.golden

class TransactionsGoldenTest : GoldenFixtureTest(Transactions.suite)

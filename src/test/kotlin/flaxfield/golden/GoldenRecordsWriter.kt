package flaxfield.golden

import org.junit.jupiter.api.Test

/**
 * Rewrites all fixtures with the production code. Test runs skip it, because its name does not match Surefire's patterns.
 * Run it manually with `mvn surefire:test -Dtest=GoldenRecordsWriter`, and only after an intended change of a format.
 */
class GoldenRecordsWriter {
    @Test
    fun `writes all fixtures`() {
        for (suite in GoldenSuites.all) {
            suite.files.mkdirs()
            for (case in suite.cases) suite.file(case).writeText(case.write())
        }
    }
}

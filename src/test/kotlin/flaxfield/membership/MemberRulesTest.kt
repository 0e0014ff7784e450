package flaxfield.membership

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class MemberRulesTest {
    private val a = Member("a", "1", "north")
    private val b = Member("b", "1", "south")
    private val c = Member("c", "1", "north")

    private fun assignment(leader: Member, vararg members: Member) = ShardAssignment(leader, members.toList(), 5uL)

    @Test
    fun `the next step depends on members, leader and assignment`() {
        val table = listOf(
            Triple("not a member yet", MemberRules.nextStep(a, listOf(b), b, assignment(b, b)), MemberStep.Join),
            Triple(
                "an earlier run is a member",
                MemberRules.nextStep(a, listOf(a.copy(incarnation = "0")), b, null),
                MemberStep.Join,
            ),
            Triple("no leader", MemberRules.nextStep(a, listOf(a, b), null, assignment(b, a, b)), MemberStep.Lead),
            Triple(
                "an earlier run is the leader",
                MemberRules.nextStep(a, listOf(a, b), a.copy(incarnation = "0"), null),
                MemberStep.Lead,
            ),
            Triple("another member is the leader", MemberRules.nextStep(a, listOf(a, b), b, assignment(b, b)), null),
            Triple(
                "leader without an assignment",
                MemberRules.nextStep(a, listOf(b, a), a, null),
                MemberStep.Assign(listOf(a, b)),
            ),
            Triple(
                "leader with a former leader's assignment",
                MemberRules.nextStep(a, listOf(a), a, assignment(b, a)),
                MemberStep.Assign(listOf(a)),
            ),
            Triple(
                "a member was removed",
                MemberRules.nextStep(a, listOf(a), a, assignment(a, a, b)),
                MemberStep.Assign(listOf(a)),
            ),
            Triple(
                "a member was restarted",
                MemberRules.nextStep(a, listOf(a, b.copy(incarnation = "2")), a, assignment(a, a, b)),
                MemberStep.Assign(listOf(a, b.copy(incarnation = "2"))),
            ),
            Triple("assignment up to date", MemberRules.nextStep(a, listOf(b, a), a, assignment(a, a, b)), null),
        )
        for ((case, actual, expected) in table) assertEquals(expected, actual, case)
    }

    private val machineNames = (0 until 300).map { "host-%06d".format(it) }

    private fun ShardAssignment.counts(zone: String, zones: Int = 2) = machineNames.groupingBy {
        owner(it, zone, zones)
    }.eachCount()

    @Test
    fun `machines belong to members of their zone, or to any member if the zone has none`() {
        val all = assignment(a, a, b, c)
        val north = all.counts("north")
        assertEquals(setOf("a", "c"), north.keys)
        assertTrue(north.values.all { it > 100 }, north.toString())
        assertEquals(setOf("a", "b", "c"), all.counts("west").keys)
        // The loss of a member moves only its own machines.
        val withoutC = assignment(a, a, b)
        for (h in machineNames) {
            if (all.owner(h, "west", 2) !=
                "c"
            ) {
                assertEquals(all.owner(h, "west", 2), withoutC.owner(h, "west", 2))
            }
        }
    }

    @Test
    fun `a zone's members own no more of its machines than their share of all machines`() {
        // One of three controllers owned half of all machines and did more than its share of the heartbeat handling.
        val south = assignment(a, a, b, c).counts("south")
        assertTrue(
            (south["b"] ?: 0) in 170..230 && (south["a"] ?: 0) in 25..75 && (south["c"] ?: 0) in 25..75,
            south.toString(),
        )
        assertEquals(setOf("b"), assignment(a, a, b).counts("south").keys, "one of two members, one of two zones")
        assertEquals(
            setOf("b"),
            assignment(a, a, b, c).counts("south", zones = 3).keys,
            "one of three members, one of three zones",
        )
        assertEquals(setOf("b"), assignment(b, b).counts("south").keys)
        assertEquals(setOf("b"), assignment(b, b).counts("north").keys)
    }
}

package flaxfield.membership

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class MemberRulesTest {
    private val a = Member("a", "1", "north")
    private val b = Member("b", "1", "south")
    private val c = Member("c", "1", "north")

    private fun plan(leader: Member, vararg members: Member) = ShardAssignment(leader, members.toList(), 5uL)

    @Test
    fun `the next step follows from what the store shows`() {
        val table = listOf(
            Triple("not a member yet", MemberRules.next(a, listOf(b), b, plan(b, b)), MemberStep.Join),
            Triple(
                "an earlier run of us is",
                MemberRules.next(a, listOf(a.copy(incarnation = "0")), b, null),
                MemberStep.Join,
            ),
            Triple("nobody leads", MemberRules.next(a, listOf(a, b), null, plan(b, a, b)), MemberStep.Lead),
            Triple(
                "an earlier run of us leads",
                MemberRules.next(a, listOf(a, b), a.copy(incarnation = "0"), null),
                MemberStep.Lead,
            ),
            Triple("another leads", MemberRules.next(a, listOf(a, b), b, plan(b, b)), null),
            Triple(
                "we lead and nothing is assigned",
                MemberRules.next(a, listOf(b, a), a, null),
                MemberStep.Assign(listOf(a, b)),
            ),
            Triple(
                "we lead, the assignment is a former leader's",
                MemberRules.next(a, listOf(a), a, plan(b, a)),
                MemberStep.Assign(listOf(a)),
            ),
            Triple("a member has gone", MemberRules.next(a, listOf(a), a, plan(a, a, b)), MemberStep.Assign(listOf(a))),
            Triple(
                "a member is a new run",
                MemberRules.next(a, listOf(a, b.copy(incarnation = "2")), a, plan(a, a, b)),
                MemberStep.Assign(listOf(a, b.copy(incarnation = "2"))),
            ),
            Triple("all as it should be", MemberRules.next(a, listOf(b, a), a, plan(a, a, b)), null),
        )
        for ((what, got, want) in table) assertEquals(want, got, what)
    }

    private val hosts = (0 until 300).map { "host-%06d".format(it) }

    private fun ShardAssignment.counts(zone: String, zones: Int = 2) = hosts.groupingBy {
        owner(it, zone, zones)
    }.eachCount()

    @Test
    fun `machines belong to members of their zone, and to any where there is none`() {
        val all = plan(a, a, b, c)
        val north = all.counts("north")
        assertEquals(setOf("a", "c"), north.keys)
        assertTrue(north.values.all { it > 100 }, north.toString())
        assertEquals(setOf("a", "b", "c"), all.counts("west").keys)
        // A member that goes moves only its own machines.
        val without = plan(a, a, b)
        for (h in hosts) {
            if (all.owner(h, "west", 2) !=
                "c"
            ) {
                assertEquals(all.owner(h, "west", 2), without.owner(h, "west", 2))
            }
        }
    }

    @Test
    fun `a zone's members carry no more of its machines than their share of all`() {
        // One of three controllers had half of all machines to itself, and spent more than its share on reports.
        val south = plan(a, a, b, c).counts("south")
        assertTrue(
            (south["b"] ?: 0) in 170..230 && (south["a"] ?: 0) in 25..75 && (south["c"] ?: 0) in 25..75,
            south.toString(),
        )
        assertEquals(setOf("b"), plan(a, a, b).counts("south").keys, "one of two members, one of two zones")
        assertEquals(
            setOf("b"),
            plan(a, a, b, c).counts("south", zones = 3).keys,
            "one of three members, one of three zones",
        )
        assertEquals(setOf("b"), plan(b, b).counts("south").keys)
        assertEquals(setOf("b"), plan(b, b).counts("north").keys)
    }
}

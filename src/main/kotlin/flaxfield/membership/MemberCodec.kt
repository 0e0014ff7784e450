package flaxfield.membership

import flaxfield.codec.FieldMap

/** Stored form of [Member] and [ShardAssignment]. Decoders throw MalformedException. */
object MemberCodec {
    /** The stored form of a member, of the leader as well. */
    fun encode(member: Member): Map<String, Any?> =
        mapOf("name" to member.name, "run" to member.incarnation, "zone" to member.zone)

    /** The member that is stored as [fields]. */
    fun member(fields: FieldMap) =
        Member(fields.requireText("name"), fields.requireText("run"), fields.text("zone").orEmpty())

    /** An assignment; its term is the version that its key gets by the write. */
    fun encode(leader: Member, members: List<Member>): Map<String, Any?> =
        mapOf("leader" to encode(leader), "members" to members.map(::encode))

    /** The assignment that was stored at [version]. */
    fun assignment(fields: FieldMap, version: ULong) = ShardAssignment(
        member(fields.requireMap("leader")),
        fields.mapList("members").map(::member),
        version,
    )
}

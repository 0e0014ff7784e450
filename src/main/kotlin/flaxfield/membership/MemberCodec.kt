package flaxfield.membership

import flaxfield.codec.FieldMap

/** Encodes and decodes the stored form of [Member] and [ShardAssignment]. Decoders throw MalformedException. */
object MemberCodec {
    /** Encodes a member or the leader. */
    fun encode(member: Member): Map<String, Any?> =
        mapOf("name" to member.name, "run" to member.incarnation, "zone" to member.zone)

    /** Decodes a member. */
    fun member(fields: FieldMap) =
        Member(fields.requireText("name"), fields.requireText("run"), fields.text("zone").orEmpty())

    /** Encodes an assignment. The term is not part of it: the term is the version that the write gives the key. */
    fun encode(leader: Member, members: List<Member>): Map<String, Any?> =
        mapOf("leader" to encode(leader), "members" to members.map(::encode))

    /** Decodes an assignment stored at [version], which is its term. */
    fun assignment(fields: FieldMap, version: ULong) = ShardAssignment(
        member(fields.requireMap("leader")),
        fields.mapList("members").map(::member),
        version,
    )
}

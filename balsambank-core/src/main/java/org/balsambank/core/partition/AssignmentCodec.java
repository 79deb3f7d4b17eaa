package org.balsambank.core.partition;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.balsambank.core.id.Epoch;
import org.balsambank.core.id.VmId;
import org.balsambank.protocol.generated.ownership.AssignmentValue;
import org.balsambank.protocol.generated.ownership.MemberValue;
import org.balsambank.protocol.generated.ownership.SlotValue;
import org.balsambank.protocol.generated.ownership.VoterSetValue;

/**
 * Encodes and decodes assignments. Each member is written once and referenced by its index.
 *
 * <p>Stateless and thread-safe.
 */
final class AssignmentCodec {
    private AssignmentCodec() {}

    /**
     * Encodes an assignment.
     *
     * @param assignment the assignment to encode
     * @return the serialized value
     */
    static ByteString encode(final Assignment assignment) {
        final MemberTable table = new MemberTable();
        final AssignmentValue.Builder value =
                AssignmentValue.newBuilder().setVersion(assignment.version()).setWriteId(assignment.writeId());
        for (final PartitionState state : assignment.partitions()) {
            final int owner =
                    state.owner().map(member -> table.index(member) + 1).orElse(0);
            value.addSlots(SlotValue.newBuilder()
                    .setOwner(owner)
                    .setEpoch(state.epoch().value())
                    .setHandedOver(state.handedOver()));
        }
        for (final Set<Voter> voters : assignment.voterSets()) {
            final VoterSetValue.Builder set = VoterSetValue.newBuilder();
            voters.forEach(voter -> set.addMembers(table.index(voter)));
            value.addVoterSets(set);
        }
        table.members().forEach(member -> value.addMembers(encode(member)));
        return value.build().toByteString();
    }

    /**
     * Decodes an assignment.
     *
     * @param bytes the serialized value
     * @return the assignment
     * @throws InvalidProtocolBufferException if the value is not a valid assignment
     */
    static Assignment decode(final ByteString bytes) throws InvalidProtocolBufferException {
        final AssignmentValue value = AssignmentValue.parseFrom(bytes);
        try {
            final List<Member> members = new ArrayList<>();
            value.getMembersList().forEach(member -> members.add(decode(member)));
            final List<PartitionState> partitions = new ArrayList<>();
            value.getSlotsList().forEach(state -> partitions.add(decodeState(state, members)));
            final List<Set<Voter>> voterSets = new ArrayList<>();
            value.getVoterSetsList().forEach(set -> voterSets.add(voters(set, members)));
            return new Assignment(value.getVersion(), value.getWriteId(), voterSets, partitions);
        } catch (final IllegalArgumentException | IndexOutOfBoundsException e) {
            throw new InvalidProtocolBufferException(e);
        }
    }

    /**
     * Encodes a member.
     *
     * @param member the member to encode
     * @return the protobuf message
     */
    static MemberValue encode(final Member member) {
        return MemberValue.newBuilder()
                .setVm(member.vm().value())
                .setBoot(member.boot())
                .setRegistration(member.registration())
                .build();
    }

    /**
     * Decodes a member.
     *
     * @param value the protobuf message
     * @return the member
     */
    static Member decode(final MemberValue value) {
        return new Member(new VmId(value.getVm()), value.getBoot(), value.getRegistration());
    }

    private static PartitionState decodeState(final SlotValue value, final List<Member> members) {
        final Optional<Member> owner =
                value.getOwner() == 0 ? Optional.empty() : Optional.of(members.get(value.getOwner() - 1));
        return new PartitionState(owner, new Epoch(value.getEpoch()), value.getHandedOver());
    }

    private static Set<Voter> voters(final VoterSetValue set, final List<Member> members) {
        final Set<Voter> voters = new TreeSet<>();
        set.getMembersList().forEach(index -> voters.add(members.get(index).voter()));
        return voters;
    }

    /** Assigns an index to each member of one value. Confined to one call. */
    private static final class MemberTable {
        private final Map<Member, Integer> indexes = new LinkedHashMap<>();
        private final Map<Voter, Integer> voters = new LinkedHashMap<>();

        private int index(final Member member) {
            final int index = indexes.computeIfAbsent(member, ignored -> indexes.size());
            voters.putIfAbsent(member.voter(), index);
            return index;
        }

        private int index(final Voter voter) {
            final Integer known = voters.get(voter);
            return known == null ? index(new Member(voter.vm(), voter.boot(), 0)) : known;
        }

        private Set<Member> members() {
            return indexes.keySet();
        }
    }
}

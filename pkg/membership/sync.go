package membership

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/fireflychute/fireflychute/pkg/message"
)

// startSync sends the digests of both tables to a random member.
func (m *Machine) startSync() []Outgoing {
	out := []Outgoing{}
	for _, e := range m.sampleAlive(1, "") {
		out = append(out, m.envelope(e.Address, Message{SyncRequest: m.newSyncRequest()}))
	}
	return out
}

// handleSyncRequest answers with the entries of buckets that differ. When nothing
// differs the answer is empty.
func (m *Machine) handleSyncRequest(replyAddress string, request *message.SyncRequest) []Outgoing {
	reply := m.buildSyncReply(request)
	if reply.Members != nil || reply.Facts != nil || reply.More {
		reply.Request = m.digests()
	}
	return []Outgoing{m.envelope(replyAddress, Message{SyncReply: reply})}
}

func (m *Machine) handleSyncReply(replyAddress string, reply *message.SyncReply) []Outgoing {
	membersBefore := len(m.members)
	for _, member := range reply.Members {
		m.mergeMember(memberFromMessage(member))
	}
	m.mergeFacts(reply.Facts)
	if !reply.More && len(m.members) == membersBefore {
		m.join.recordSyncReply(reply.Sequence, m.lastSequence, reply.Established)
	}
	if reply.Request == nil {
		return nil
	}
	ownEntries := m.buildSyncReply(reply.Request)
	return []Outgoing{m.envelope(replyAddress, Message{SyncReply: ownEntries})}
}

// buildSyncReply returns the entries of the buckets whose digests differ, up to
// syncBytes, beginning at a random entry so that repeated exchanges cover all.
func (m *Machine) buildSyncReply(request *message.SyncRequest) *message.SyncReply {
	ownDigests := m.digests()
	reply := &message.SyncReply{Sequence: request.Sequence, Established: m.join.established}
	remaining := maxSyncBytes
	members := m.Members()
	for i, offset := 0, m.random.IntN(len(members)); i < len(members); i++ {
		member := members[(i+offset)%len(members)].toMessage()
		if sameDigest(ownDigests.Members, request.Members, member.Name) {
			continue
		}
		reply.More = !appendEntry(&reply.Members, member, &remaining) || reply.More
	}
	keys := sortedKeys(m.facts.facts)
	for i, offset := 0, m.random.IntN(len(keys)+1); i < len(keys); i++ {
		key := keys[(i+offset)%len(keys)]
		if sameDigest(ownDigests.Facts, request.Facts, key) {
			continue
		}
		reply.More = !appendEntry(&reply.Facts, m.facts.facts[key].toMessage(), &remaining) || reply.More
	}
	return reply
}

func appendEntry[T any, P interface {
	*T
	sized
}](list *[]T, entry T, remaining *int) bool {
	size := P(&entry).Msgsize()
	if size > *remaining {
		return false
	}
	*list = append(*list, entry)
	*remaining -= size
	return true
}

func (m *Machine) newSyncRequest() *message.SyncRequest {
	request := m.digests()
	request.Sequence = m.nextSequence()
	return request
}

// digests returns per bucket the sum of the hashes of its entries.
func (m *Machine) digests() *message.SyncRequest {
	d := &message.SyncRequest{Members: make([]uint64, syncBuckets), Facts: make([]uint64, syncBuckets)}
	m.digestMember(d, m.self)
	for _, e := range m.members {
		m.digestMember(d, e.Member)
	}
	for key, e := range m.facts.facts {
		d.Facts[bucket(key)] += digest(key, e.Epoch, e.Version, 0)
	}
	return d
}

func (m *Machine) digestMember(d *message.SyncRequest, member Member) {
	d.Members[bucket(member.Name)] += digest(member.Name, member.Incarnation, member.Revision, uint64(member.State))
}

func digest(key string, values ...uint64) uint64 {
	buffer := binary.LittleEndian.AppendUint64(make([]byte, 0, 32), xxhash.Sum64String(key))
	for _, value := range values {
		buffer = binary.LittleEndian.AppendUint64(buffer, value)
	}
	return xxhash.Sum64(buffer)
}

func bucket(key string) int {
	return int(xxhash.Sum64String(key) % syncBuckets)
}

// sameDigest reports whether a bucket has the same digest at both nodes. Digests of a
// node with another number of buckets differ.
func sameDigest(own, theirs []uint64, key string) bool {
	b := bucket(key)
	return len(theirs) == len(own) && own[b] == theirs[b]
}

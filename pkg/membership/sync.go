package membership

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/fireflychute/fireflychute/pkg/message"
)

// startSync sends the digests of both tables to a random member.
func (m *Machine) startSync() []Outgoing {
	out := []Outgoing{}
	for _, e := range m.pick(1, "") {
		out = append(out, m.envelope(e.Address, Message{SyncRequest: m.syncRequest()}))
	}
	return out
}

// handleSyncRequest answers with the entries of buckets that differ. When nothing
// differs the answer is empty.
func (m *Machine) handleSyncRequest(reply string, request *message.SyncRequest) []Outgoing {
	answer := m.difference(request)
	if answer.Members != nil || answer.Facts != nil || answer.More {
		answer.Request = m.digests()
	}
	return []Outgoing{m.envelope(reply, Message{SyncReply: answer})}
}

func (m *Machine) handleSyncReply(reply string, answer *message.SyncReply) []Outgoing {
	known := len(m.members)
	for _, member := range answer.Members {
		m.merge(memberOf(member))
	}
	m.mergeFacts(answer.Facts)
	if !answer.More && len(m.members) == known {
		m.join.synced(answer.Sequence, m.sequence, answer.Established)
	}
	if answer.Request == nil {
		return nil
	}
	back := m.difference(answer.Request)
	return []Outgoing{m.envelope(reply, Message{SyncReply: back})}
}

// difference returns the entries of the buckets whose digests differ, up to
// syncBytes, beginning at a random entry so that repeated exchanges cover all.
func (m *Machine) difference(theirs *message.SyncRequest) *message.SyncReply {
	own := m.digests()
	reply := &message.SyncReply{Sequence: theirs.Sequence, Established: m.join.established}
	room := syncBytes
	members := m.Members()
	for i, offset := 0, m.random.IntN(len(members)); i < len(members); i++ {
		member := members[(i+offset)%len(members)].wire()
		if same(own.Members, theirs.Members, member.Name) {
			continue
		}
		reply.More = !addEntry(&reply.Members, member, &room) || reply.More
	}
	keys := sortedKeys(m.facts.facts)
	for i, offset := 0, m.random.IntN(len(keys)+1); i < len(keys); i++ {
		key := keys[(i+offset)%len(keys)]
		if same(own.Facts, theirs.Facts, key) {
			continue
		}
		reply.More = !addEntry(&reply.Facts, m.facts.facts[key].wire(), &room) || reply.More
	}
	return reply
}

func addEntry[T any, P interface {
	*T
	sized
}](list *[]T, entry T, room *int) bool {
	size := P(&entry).Msgsize()
	if size > *room {
		return false
	}
	*list = append(*list, entry)
	*room -= size
	return true
}

func (m *Machine) syncRequest() *message.SyncRequest {
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

// same reports whether a bucket has the same digest at both nodes. Digests of a
// node with another number of buckets differ.
func same(own, theirs []uint64, key string) bool {
	b := bucket(key)
	return len(theirs) == len(own) && own[b] == theirs[b]
}

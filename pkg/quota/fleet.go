package quota

import (
	"strconv"

	"github.com/fireflychute/fireflychute/pkg/share"
)

const (
	// maxOwners is the number of nodes that may grant units of a limit.
	maxOwners = 3
	// usedShare is the part of a limit that its owner grants. Each further owner takes over with
	// half of the previous one's rate, so that all of them together stay below 2 * usedShare of
	// the limit even if each believes the previous ones to be gone.
	usedShare = 0.75
)

// Node is a member of the fleet.
type Node struct{ Name, Address string }

// fleet is the list of nodes. It is replaced as a whole.
type fleet struct {
	names     []string
	addresses map[string]string
}

// owners returns the names of the nodes that may grant units of a limit, in order.
func (f *fleet) owners(key Key) []string {
	return share.First(key.Target+"/"+strconv.FormatInt(key.Incarnation, 10), f.names, maxOwners)
}

// ownerRate returns the rate at which the owner of a rank grants units.
func ownerRate(rate float64, rank int) float64 { return usedShare * rate / float64(int(1)<<rank) }

package leaser

import (
	"slices"
	"strings"
	"time"
)

// Identity is what a node's settings say of it.
type Identity struct {
	name       string
	caller     string
	peer       string
	region     string
	dataCentre string
}

// NewIdentity returns the identity of a node. The name is the one under which the
// host list knows the node's host; caller and peer are the addresses for callers
// and for other nodes.
func NewIdentity(name, caller, peer, region, dataCentre string) Identity {
	return Identity{name: name, caller: caller, peer: peer, region: region, dataCentre: dataCentre}
}

// Name returns the node's name.
func (i Identity) Name() string { return i.name }

// CallerAddress returns where callers connect to.
func (i Identity) CallerAddress() string { return i.caller }

// PeerAddress returns where other nodes connect to.
func (i Identity) PeerAddress() string { return i.peer }

// Region returns the node's region.
func (i Identity) Region() string { return i.region }

// DataCentre returns the node's data centre.
func (i Identity) DataCentre() string { return i.dataCentre }

// Member is a node as its lease row shows it.
type Member struct {
	Identity
	instance  string
	term      uint64
	leaving   bool
	ended     bool
	inForce   uint64
	prepared  uint64
	inContact bool
	known     uint64 // version of the assignment row that the node knows
	sequence  uint64
	closed    uint64 // earlier leases of the name up to this term ended by their row, not by time
}

// Instance returns the id of the node's process.
func (m Member) Instance() string { return m.instance }

// Draining reports whether the node is handing its engines over before it stops.
func (m Member) Draining() bool { return m.leaving }

// InForce returns the epoch of the bundle in force at the node.
func (m Member) InForce() uint64 { return m.inForce }

// Prepared returns the highest epoch that the node has verified.
func (m Member) Prepared() uint64 { return m.prepared }

// InContact reports whether the node has renewed its lease in time. A member that
// has not is dropped after the guard time.
func (m Member) InContact() bool { return m.inContact }

// Holder returns the node's lease.
func (m Member) Holder() Holder { return Holder{name: m.name, instance: m.instance, term: m.term} }

// ID returns the identity of the node's process in the form that Gone takes.
func (m Member) ID() string { return m.Holder().ID() }

func decodeMember(name string, value []byte) (Member, error) {
	msg, err := decodeRow[nodeMessage](value, maxNodeRow)
	if err != nil {
		return Member{}, err
	}
	return Member{
		Identity: NewIdentity(name, msg.Caller, msg.Peer, msg.Region, msg.DataCentre),
		instance: msg.Instance, term: msg.Term, sequence: msg.Sequence,
		leaving: msg.Leaving, ended: msg.Ended,
		inForce: msg.InForce, prepared: msg.Prepared, known: msg.Assignment, closed: msg.Closed,
	}, nil
}

func (m Member) encode() ([]byte, error) {
	return encodeRow(nodeMessage{
		Instance: m.instance, Term: m.term, Sequence: m.sequence,
		Caller: m.caller, Peer: m.peer, Region: m.region, DataCentre: m.dataCentre,
		Leaving: m.leaving, InForce: m.inForce, Prepared: m.prepared,
		Ended: m.ended, Assignment: m.known, Closed: m.closed,
	}, maxNodeRow)
}

// Membership is the set of nodes with a valid lease as the last scan showed them.
// It never changes.
type Membership struct {
	members []Member // by name
	expired []Member // rows whose lease has ended, by name
	readAt  time.Time
	wideAt  time.Time        // when the rows of all data centres were read
	owners  map[string]Entry // by engine, of all data centres
}

// Members returns the nodes, by name. The slice must not be changed.
func (m *Membership) Members() []Member { return m.members }

// ReadAt returns when the rows were read, or the zero time before the first scan.
func (m *Membership) ReadAt() time.Time { return m.readAt }

// Member returns the node with a name.
func (m *Membership) Member(name string) (Member, bool) { return findMember(m.members, name) }

func findMember(members []Member, name string) (Member, bool) {
	i, ok := slices.BinarySearchFunc(members, name, func(m Member, name string) int { return strings.Compare(m.name, name) })
	if !ok {
		return Member{}, false
	}
	return members[i], true
}

// expiredOrLive returns the node whose row has a name.
func (m *Membership) expiredOrLive(name string) (Member, bool) {
	if member, ok := findMember(m.members, name); ok {
		return member, true
	}
	return findMember(m.expired, name)
}

// Owner returns the node that owns an engine, of any data centre.
func (m *Membership) Owner(engine string) (Member, bool) {
	e, ok := m.owners[engine]
	if !ok {
		return Member{}, false
	}
	member, ok := m.Member(e.owner.name)
	if !ok || member.Holder() != e.owner {
		return Member{}, false
	}
	return member, true
}

// Engines returns the engines and their owners, of all data centres. The map must
// not be changed.
func (m *Membership) Engines() map[string]Entry { return m.owners }

package leaser

import (
	"slices"
	"strings"
	"time"
)

// Identity describes a node as configured by its settings.
type Identity struct {
	name       string
	caller     string
	peer       string
	region     string
	dataCentre string
}

// NewIdentity returns the identity of a node. name is the name of the node's
// host in the host list; caller and peer are the addresses for callers and for
// other nodes.
func NewIdentity(name, caller, peer, region, dataCentre string) Identity {
	return Identity{name: name, caller: caller, peer: peer, region: region, dataCentre: dataCentre}
}

// Name returns the node's name.
func (i Identity) Name() string { return i.name }

// CallerAddress returns the address that callers connect to.
func (i Identity) CallerAddress() string { return i.caller }

// PeerAddress returns the address that other nodes connect to.
func (i Identity) PeerAddress() string { return i.peer }

// Region returns the node's region.
func (i Identity) Region() string { return i.region }

// DataCentre returns the node's data centre.
func (i Identity) DataCentre() string { return i.dataCentre }

// Member is a node as described by its lease row.
type Member struct {
	Identity
	instance          string
	term              uint64
	draining          bool
	ended             bool
	inForce           uint64
	prepared          uint64
	inContact         bool
	assignmentVersion uint64 // version of the assignment row that the node has read
	sequence          uint64
	closedTerm        uint64 // earlier leases of the name up to this term were ended in the row rather than by expiry
}

// Instance returns the ID of the node's process.
func (m Member) Instance() string { return m.instance }

// Draining reports whether the node is handing its engines over before it stops.
func (m Member) Draining() bool { return m.draining }

// InForce returns the epoch of the bundle in force at the node.
func (m Member) InForce() uint64 { return m.inForce }

// Prepared returns the highest epoch that the node has verified.
func (m Member) Prepared() uint64 { return m.prepared }

// InContact reports whether the node has renewed its lease in time. A node that
// has not is removed from the members after the guard time.
func (m Member) InContact() bool { return m.inContact }

// Holder returns the identity of the node's lease.
func (m Member) Holder() Holder { return Holder{name: m.name, instance: m.instance, term: m.term} }

// ID returns the identity of the node's process in the form that
// Leaser.Expired accepts.
func (m Member) ID() string { return m.Holder().ID() }

func decodeMember(name string, value []byte) (Member, error) {
	msg, err := decodeRow[nodeMessage](value, maxNodeRow)
	if err != nil {
		return Member{}, err
	}
	return Member{
		Identity: NewIdentity(name, msg.Caller, msg.Peer, msg.Region, msg.DataCentre),
		instance: msg.Instance, term: msg.Term, sequence: msg.Sequence,
		draining: msg.Leaving, ended: msg.Ended,
		inForce: msg.InForce, prepared: msg.Prepared, assignmentVersion: msg.Assignment, closedTerm: msg.Closed,
	}, nil
}

func (m Member) encode() ([]byte, error) {
	return encodeRow(nodeMessage{
		Instance: m.instance, Term: m.term, Sequence: m.sequence,
		Caller: m.caller, Peer: m.peer, Region: m.region, DataCentre: m.dataCentre,
		Leaving: m.draining, InForce: m.inForce, Prepared: m.prepared,
		Ended: m.ended, Assignment: m.assignmentVersion, Closed: m.closedTerm,
	}, maxNodeRow)
}

// Membership is an immutable snapshot of the nodes with a valid lease as of the
// last scan.
type Membership struct {
	members    []Member // sorted by name
	expired    []Member // rows whose lease has ended, sorted by name
	readAt     time.Time
	fullScanAt time.Time        // when the rows of all data centres were last read
	owners     map[string]Entry // of all data centres, by engine name
}

// Members returns the nodes, sorted by name. The slice must not be modified.
func (m *Membership) Members() []Member { return m.members }

// ReadAt returns when the rows were read, or the zero time before the first scan.
func (m *Membership) ReadAt() time.Time { return m.readAt }

// Member returns the node with the given name.
func (m *Membership) Member(name string) (Member, bool) { return findMember(m.members, name) }

func findMember(members []Member, name string) (Member, bool) {
	i, ok := slices.BinarySearchFunc(members, name, func(m Member, name string) int { return strings.Compare(m.name, name) })
	if !ok {
		return Member{}, false
	}
	return members[i], true
}

// expiredOrLive returns the node with the given name, even if its lease has
// ended.
func (m *Membership) expiredOrLive(name string) (Member, bool) {
	if member, ok := findMember(m.members, name); ok {
		return member, true
	}
	return findMember(m.expired, name)
}

// Owner returns the live node that owns an engine of any data centre.
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

// Engines returns the entries of the engines of all data centres, by engine
// name. The map must not be modified.
func (m *Membership) Engines() map[string]Entry { return m.owners }

package bundler

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Keys and key prefixes of the table rows that hold bundle records.
const (
	KeyCurrent    = "bundle/current"
	KeyNext       = "bundle/next"
	HistoryPrefix = "bundle/history/"
	versionPrefix = "bundle/version/"
)

// HistoryKey returns the key of the row for an accepted epoch. The epoch has a
// fixed width, so that the rows sort by epoch.
func HistoryKey(epoch uint64) string { return fmt.Sprintf("%s%020d", HistoryPrefix, epoch) }

// VersionKey returns the key of the row that records the epoch at which a
// version was accepted.
func VersionKey(version string) string { return versionPrefix + version }

// Stage is the progress of a roll-out.
type Stage int

// Stages of a roll-out. The record of an epoch only moves to a later stage.
const (
	StagePrepared Stage = iota + 1
	StageWithdrawn
	StageAccepted
)

func (s Stage) String() string {
	switch s {
	case StagePrepared:
		return "prepared"
	case StageWithdrawn:
		return "withdrawn"
	case StageAccepted:
		return "accepted"
	default:
		return fmt.Sprintf("stage %d", int(s))
	}
}

// Record describes the roll-out of a bundle at an epoch.
type Record struct {
	epoch    uint64
	bundle   Hash
	manifest Hash
	version  string
	operator string
	rollout  string
	excluded []string
	stage    Stage
}

// NewRecord returns the record of a prepared roll-out. Rollout is the random id
// of the roll-out; after a lost response it shows whose write a row holds.
func NewRecord(epoch uint64, bundle, manifest Hash, version, operator, rollout string, excluded []string) Record {
	return Record{
		epoch: epoch, bundle: bundle, manifest: manifest, version: version,
		operator: operator, rollout: rollout, excluded: excluded, stage: StagePrepared,
	}
}

// WithStage returns a copy of the record at the given stage.
func (r Record) WithStage(s Stage) Record {
	r.stage = s
	return r
}

// Epoch returns the epoch.
func (r Record) Epoch() uint64 { return r.epoch }

// Bundle returns the hash of the encoded signed manifest.
func (r Record) Bundle() Hash { return r.bundle }

// Manifest returns the digest of the manifest. Records with the same digest
// refer to the same document, regardless of its signatures.
func (r Record) Manifest() Hash { return r.manifest }

// Version returns the version of the bundle, a name chosen by the operators.
func (r Record) Version() string { return r.version }

// Operator returns the name of the operator who rolls out the bundle.
func (r Record) Operator() string { return r.operator }

// Rollout returns the id of the roll-out.
func (r Record) Rollout() string { return r.rollout }

// Excluded returns the regions that the roll-out does not wait for.
func (r Record) Excluded() []string { return r.excluded }

// Stage returns the stage of the roll-out.
func (r Record) Stage() Stage { return r.stage }

// Supersedes reports whether r is newer than other: it has a higher epoch, or
// the same epoch and a later stage.
func (r Record) Supersedes(other Record) bool {
	return r.epoch > other.epoch || (r.epoch == other.epoch && r.stage > other.stage)
}

type recordMessage struct {
	Epoch    uint64   `cbor:"1,keyasint"`
	Bundle   []byte   `cbor:"2,keyasint"`
	Manifest []byte   `cbor:"3,keyasint"`
	Version  string   `cbor:"4,keyasint"`
	Operator string   `cbor:"5,keyasint"`
	Rollout  string   `cbor:"6,keyasint"`
	Excluded []string `cbor:"7,keyasint,omitempty"`
	Stage    Stage    `cbor:"8,keyasint"`
}

// Encode returns the encoding in which a row stores the record.
func (r Record) Encode() ([]byte, error) {
	b, err := cbor.Marshal(recordMessage{
		Epoch: r.epoch, Bundle: r.bundle[:], Manifest: r.manifest[:], Version: r.version,
		Operator: r.operator, Rollout: r.rollout, Excluded: r.excluded, Stage: r.stage,
	})
	if err != nil {
		return nil, fmt.Errorf("encode record of epoch %d: %w", r.epoch, err)
	}
	return b, nil
}

// DecodeRecord decodes the result of Record.Encode.
func DecodeRecord(b []byte) (Record, error) {
	var msg recordMessage
	if err := cbor.Unmarshal(b, &msg); err != nil {
		return Record{}, fmt.Errorf("decode bundle record: %w", err)
	}
	if len(msg.Bundle) != len(Hash{}) || len(msg.Manifest) != len(Hash{}) {
		return Record{}, fmt.Errorf("bundle record of epoch %d: %w", msg.Epoch, ErrHash)
	}
	r := NewRecord(msg.Epoch, Hash(msg.Bundle), Hash(msg.Manifest), msg.Version, msg.Operator, msg.Rollout, msg.Excluded)
	return r.WithStage(msg.Stage), nil
}

package accountant

// wholeShare is the share of a rate from which on a bucket says how much of the quota is left. A
// bucket that grants less of it is emptier than the quota.
const wholeShare = 0.9

// Balance is what is left of a quota. The zero value is an unknown one.
type Balance struct {
	units float64
	known bool
}

// NewBalance returns a balance. Units is negative if the bucket is overdrawn.
func NewBalance(units float64) Balance { return Balance{units: units, known: true} }

// Units returns the units that are left, and false if they are unknown.
func (b Balance) Units() (units float64, known bool) { return b.units, b.known }

func (b *bucket) balance() Balance {
	if b.share < wholeShare {
		return Balance{}
	}
	return NewBalance(b.level)
}

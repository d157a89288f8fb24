package leaser

// turn is a lock that is held during exchanges with the table. It is a channel,
// because a goroutine that waits for a mutex stops virtual time.
type turn chan struct{}

func newTurn() turn { return make(turn, 1) }

// Lock waits for the turn.
func (t turn) Lock() { t <- struct{}{} }

// Unlock ends the turn.
func (t turn) Unlock() { <-t }

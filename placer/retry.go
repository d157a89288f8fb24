package placer

import "time"

// retryWhenNone is how long a caller should wait when no endpoint takes work.
// Ownership of an engine moves within about this time.
const retryWhenNone = 2 * time.Second

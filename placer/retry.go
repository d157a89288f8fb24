package placer

import "time"

// retryNoEndpoint is the retry delay when no endpoint accepts the request.
// Ownership of an engine is transferred within about this time.
const retryNoEndpoint = 2 * time.Second

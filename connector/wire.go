package connector

// Header fields of the endpoints' protocol.
const (
	HeaderFencingToken = "X-Fencing-Token"
	HeaderAttempt      = "X-Attempt"
	HeaderOperation    = "X-Operation-Id"
	// HeaderEndpointError marks a response of a plain service that does not
	// come from the operation; its value is an error code.
	HeaderEndpointError = "X-Endpoint-Error"
)

// ErrorDocument is the body of an engine's response that reports an error.
type ErrorDocument struct {
	// Code is "refused", "fenced", "not_resident", "load_failed" or "malformed".
	Code    string `json:"code"`
	Message string `json:"message"`
}

// Codes of ErrorDocument and of HeaderEndpointError.
const (
	CodeRefused     = "refused"
	CodeFenced      = "fenced"
	CodeNotResident = "not_resident"
	CodeLoadFailed  = "load_failed"
	CodeMalformed   = "malformed"
)

// CompletionDocument starts a job.
type CompletionDocument struct {
	// Model is the adapter and its version, as in "reading@v1".
	Model     string `json:"model"`
	Base      string `json:"base"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	Seed      uint64 `json:"seed"`
	Priority  int    `json:"priority"`
	Attempt   string `json:"attempt"`
	Request   string `json:"request"`
	// Next is the index of the first token to produce.
	Next    int  `json:"next"`
	Suspect bool `json:"suspect,omitempty"`
}

// EventDocument is one token of an answer.
type EventDocument struct {
	Attempt string           `json:"attempt"`
	Model   string           `json:"model"`
	Base    string           `json:"base"`
	Index   int              `json:"index"`
	Choices []ChoiceDocument `json:"choices"`
}

// ChoiceDocument is the text of an event.
type ChoiceDocument struct {
	Text string `json:"text"`
	// FinishReason is "length" at the last token and otherwise empty.
	FinishReason string `json:"finish_reason,omitempty"`
}

const (
	finishLength = "length"
	doneEvent    = "[DONE]" // data of the event that ends a stream
)

// AdapterDocument names an adapter version in orders and reports.
type AdapterDocument struct {
	Base    string `json:"base"`
	Name    string `json:"lora_name"`
	Version string `json:"version"`
}

// LoadModelDocument orders an engine to load a base model.
type LoadModelDocument struct {
	Base string `json:"base"`
}

// RoleDocument orders an engine to change its role to "both", "prefill" or
// "decode".
type RoleDocument struct {
	Role string `json:"role"`
}

// ReportDocument is an engine's report.
type ReportDocument struct {
	Instance string `json:"instance"`
	// AgeUS is the age in microseconds.
	AgeUS    int64             `json:"age_us"`
	Resident []AdapterDocument `json:"resident"`
	Running  []RunningDocument `json:"running"`
	Queued   int               `json:"queued"`
	Batch    int               `json:"batch"`
	Prefixes []uint64          `json:"prefixes"`
}

// RunningDocument counts the running jobs of an adapter version.
type RunningDocument struct {
	AdapterDocument
	Count int `json:"count"`
}

// ExportDocument requests the cached state of a prompt.
type ExportDocument struct {
	Model  AdapterDocument `json:"model"`
	Prompt string          `json:"prompt"`
}

// RevokeDocument revokes an operation of a fenced service.
type RevokeDocument struct {
	Operation string `json:"operation"`
}

// RevokedDocument is the response to a revocation.
type RevokedDocument struct {
	Ran bool `json:"ran"`
}

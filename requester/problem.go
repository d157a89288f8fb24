package requester

import (
	"encoding/json"
	"strconv"
	"time"
)

type problemDocument struct {
	Type    string `json:"type"`
	Detail  string `json:"detail"`
	Status  int    `json:"status"`
	Outcome string `json:"outcome"`
}

// parseProblem decodes a problem document. Any other body, for example that of
// a proxy, becomes the detail.
func parseProblem(status int, retryAfter string, body []byte) *Problem {
	p := &Problem{status: status, kind: strconv.Itoa(status), detail: string(body)}
	var doc problemDocument
	if err := json.Unmarshal(body, &doc); err == nil && doc.Type != "" {
		p.kind, p.detail = doc.Type, doc.Detail
	}
	if s, err := strconv.ParseFloat(retryAfter, 64); err == nil && s > 0 {
		p.retryAfter = time.Duration(s * float64(time.Second))
	}
	return p
}

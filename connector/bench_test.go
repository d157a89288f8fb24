package connector_test

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/dragonflyford/dragonflyford/connector"
)

// Measures the cost of one token at the client. The design target is 2.3
// million tokens/s over 560 nodes.
func BenchmarkStreamToken(b *testing.B) {
	address, response := newResponseServer(b, http.StatusOK)
	body := []byte(strings.Repeat(event, 1000) + "data: [DONE]\n\n")
	response.Store(&body)
	e := connector.NewHTTPEngine(address)
	b.Cleanup(e.Close)
	b.ReportAllocs()
	for b.Loop() {
		s, err := e.Generate(b.Context(), connector.NewJob("a", "r", reading, "p", 1000))
		if err != nil {
			b.Fatal(err)
		}
		for err == nil {
			_, err = s.Next(b.Context())
		}
		if !errors.Is(err, io.EOF) {
			b.Fatal(err)
		}
		_ = s.Close()
	}
}

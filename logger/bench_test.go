package logger_test

import (
	"fmt"
	"io"
	"testing"

	"github.com/dragonflyford/dragonflyford/logger"
)

// BenchmarkLine measures the log line of a served call when it is written,
// dropped by the sampler, and below the lowest level.
func BenchmarkLine(b *testing.B) {
	for _, tt := range []struct {
		name, lowest string
		events       int // number of distinct events; with 1000 the sampler drops no line
	}{{"written", "info", 1000}, {"dropped", "info", 1}, {"below the level", "error", 1000}} {
		b.Run(tt.name, func(b *testing.B) {
			out := logger.NewAsync(io.Discard)
			defer out.Close()
			log, err := logger.New(out, "10.0.0.1", tt.lowest)
			if err != nil {
				b.Fatal(err)
			}
			log = log.Component("assembler")
			events := make([]string, tt.events)
			for i := range events {
				events[i] = fmt.Sprint("call-served-", i)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				log.Info(events[i%tt.events], logger.Request("9c41d07be2a35f68"), logger.With(logger.KeyStatus, "200"),
					logger.With(logger.KeyDuration, 371), logger.With(logger.KeyAttempt, 1), logger.With(logger.KeyEndpoint, "i-f95bf23839"),
					logger.With(logger.KeyCount, 1812), logger.With(logger.KeyWait, 240), logger.With(logger.KeyGap, 31))
			}
		})
	}
}

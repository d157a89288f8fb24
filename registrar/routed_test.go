package registrar_test

import (
	"net/http"
	"testing"

	"github.com/dragonflyford/dragonflyford/router"
)

// routed returns a call with a part in its prompt.
func routed(t *testing.T, part router.PromptPart) *router.Routed {
	t.Helper()
	r := router.New()
	r.Adopt(router.NewTable(1, []*router.Route{
		router.NewRoute("r", "h", "/", router.NewStream(false), 0, 0, 0, 1, []router.Target{router.NewTarget("s", 1)}),
	}, []*router.Service{router.NewService("s", 1, nil)}))
	call := router.NewCall("id", "POST", "h", "/x", "/x", http.Header{}, nil, router.WithSharedPromptParts([]router.PromptPart{part}))
	got, err := r.Apply(t.Context(), call)
	if err != nil {
		t.Fatal(err)
	}
	return got
}

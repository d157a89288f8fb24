package commander

import (
	"fmt"

	"github.com/jessevdk/go-flags"
)

// bashCompletion calls dragonflyctl itself: with GO_FLAGS_COMPLETION set,
// go-flags prints the completions of the command line.
const bashCompletion = `_dragonflyctl() {
    local args=("${COMP_WORDS[@]:1:$COMP_CWORD}")
    local IFS=$'\n'
    COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${args[@]}"))
}
complete -o default -F _dragonflyctl dragonflyctl`

type completionBash struct{ *session }

func (c *completionBash) Execute([]string) error { return c.print(output{}, nil, bashCompletion) }

// complete prints the completions of a command line, one per line.
func (c *Commander) complete(items []flags.Completion) {
	for _, item := range items {
		_, _ = fmt.Fprintln(c.out, item.Item)
	}
}

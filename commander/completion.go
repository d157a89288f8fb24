package commander

import (
	"fmt"

	"github.com/jessevdk/go-flags"
)

// bashCompletion asks the program itself, which go-flags answers when the
// variable GO_FLAGS_COMPLETION is set.
const bashCompletion = `_dragonflyctl() {
    local args=("${COMP_WORDS[@]:1:$COMP_CWORD}")
    local IFS=$'\n'
    COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${args[@]}"))
}
complete -o default -F _dragonflyctl dragonflyctl`

type completionBash struct{ *session }

func (c *completionBash) Execute([]string) error { return c.print(output{}, nil, bashCompletion) }

// complete prints what may follow on a command line.
func (c *Commander) complete(items []flags.Completion) {
	for _, item := range items {
		_, _ = fmt.Fprintln(c.out, item.Item)
	}
}

package receiver

import (
	"fmt"
	"slices"
	"strings"

	"github.com/dragonflyford/dragonflyford/classifier"
)

// The roles of a chat.
const (
	roleSystem    = "system"
	roleUser      = "user"
	roleAssistant = "assistant"
)

var roles = []string{roleSystem, roleUser, roleAssistant}

// marker opens a turn in the prompt that engines get.
func marker(role string) string { return "<|" + role + "|>" }

// joinMessages writes the turns of a chat one after another and opens the turn
// of the assistant. A message that holds a marker is refused, because the model
// would read its text as a turn of another role.
func joinMessages(messages []Message) (string, error) {
	if len(messages) == 0 {
		return "", classifier.NewInvalid("the chat has no messages")
	}
	var prompt strings.Builder
	for i, m := range messages {
		if !slices.Contains(roles, m.role) {
			return "", classifier.NewInvalid(fmt.Sprintf("role of message %d is %.80q; allowed are %s", i, m.role, strings.Join(roles, ", ")))
		}
		for _, role := range roles {
			if strings.Contains(m.content, marker(role)) {
				return "", classifier.NewInvalid(fmt.Sprintf("message %d holds the marker %s", i, marker(role)))
			}
		}
		prompt.WriteString(marker(m.role) + "\n" + m.content + "\n")
	}
	prompt.WriteString(marker(roleAssistant) + "\n")
	return prompt.String(), nil
}

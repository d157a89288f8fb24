package receiver

import (
	"fmt"
	"slices"
	"strings"

	"github.com/dragonflyford/dragonflyford/classifier"
)

// Roles of the turns of a chat.
const (
	roleSystem    = "system"
	roleUser      = "user"
	roleAssistant = "assistant"
)

var roles = []string{roleSystem, roleUser, roleAssistant}

// roleMarker returns the marker that starts a turn of a role in the prompt.
func roleMarker(role string) string { return "<|" + role + "|>" }

// joinMessages joins the turns of a chat into one prompt that ends with an open
// turn of the assistant. A message that contains a marker is rejected, because
// the model would read the text after it as a turn of another role.
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
			if strings.Contains(m.content, roleMarker(role)) {
				return "", classifier.NewInvalid(fmt.Sprintf("message %d contains the marker %s", i, roleMarker(role)))
			}
		}
		prompt.WriteString(roleMarker(m.role) + "\n" + m.content + "\n")
	}
	prompt.WriteString(roleMarker(roleAssistant) + "\n")
	return prompt.String(), nil
}

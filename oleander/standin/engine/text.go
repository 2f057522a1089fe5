package engine

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
)

const (
	digestLength  = 8 // hexadecimal digits of RequestDigest
	charsPerToken = 4 // characters that count as one token of a prompt
)

// RequestDigest returns what every token of the answer to a request shows:
// it follows from the user field and the prompt alone.
func RequestDigest(user, prompt string) string {
	sum := sha256.Sum256([]byte(user + "\x00" + prompt))
	return hex.EncodeToString(sum[:])[:digestLength]
}

// Token returns token i, from 0, of the answer to the request with digest.
func Token(digest string, i int) string { return fmt.Sprintf("w%d-%s ", i, digest) }

// AnswerText returns the whole answer of n tokens to the request with digest.
func ResponseText(digest string, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(Token(digest, i))
	}
	return b.String()
}

// ChatMessage is one message of a chat.
type ChatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatPrompt returns the prompt that a chat stands for.
func ChatPrompt(messages []ChatMessage) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role + ": " + m.Content + "\n")
	}
	return b.String()
}

// PromptTokens returns the number of tokens that a prompt counts as.
func PromptTokens(prompt string) int { return (len(prompt) + charsPerToken - 1) / charsPerToken }

package engine

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
)

const (
	digestLength  = 8 // hexadecimal digits of the result of RequestDigest
	charsPerToken = 4 // bytes that count as one token of a prompt
)

// RequestDigest returns the digest that is part of every token of the response to
// a request. It depends on the user field and the prompt alone.
func RequestDigest(user, prompt string) string {
	sum := sha256.Sum256([]byte(user + "\x00" + prompt))
	return hex.EncodeToString(sum[:])[:digestLength]
}

// Token returns the token with index i of the response to the request with the
// given digest.
func Token(digest string, i int) string { return fmt.Sprintf("w%d-%s ", i, digest) }

// ResponseText returns the complete response of n tokens to the request with the
// given digest.
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

// ChatPrompt returns the prompt that is equivalent to the messages of a chat.
func ChatPrompt(messages []ChatMessage) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role + ": " + m.Content + "\n")
	}
	return b.String()
}

// PromptTokens returns the number of tokens that a prompt counts as.
func PromptTokens(prompt string) int { return (len(prompt) + charsPerToken - 1) / charsPerToken }

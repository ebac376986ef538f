package gateway

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"testing"

	"github.com/matryer/is"
)

// parse returns a request with messages as JSON.
func parse(t *testing.T, messages string) completionRequest {
	t.Helper()
	var r completionRequest
	if err := json.Unmarshal([]byte(`{"messages":[`+messages+`]}`), &r); err != nil {
		t.Fatal(err)
	}
	return r
}

const (
	system   = `{"role":"system","content":"brief"},`
	greeting = `{"role":"assistant","content":"hello"},`
	reply    = `,{"role":"assistant","content":"done"},{"role":"user","content":"more"}`
)

func user(content string) string { return `{"role":"user","content":"` + content + `"}` }

var openings = map[string]func(question string) string{
	"one message":              user,
	"system prompt":            func(q string) string { return system + user(q) },
	"greeting":                 func(q string) string { return greeting + user(q) },
	"system prompt, greeting":  func(q string) string { return system + greeting + user(q) },
	"two messages of the user": func(q string) string { return user("a document") + "," + user(q) },
}

func TestSessionStaysTheSameAsAConversationGrows(t *testing.T) {
	for name, open := range openings {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			first := parse(t, open("lilies")).session(call{}, "a")
			is.Equal(parse(t, open("lilies")+reply).session(call{}, "a"), first)
			is.Equal(parse(t, open("lilies")+reply+reply).session(call{}, "a"), first)
		})
	}
}

func TestConversationsHaveSessionsOfTheirOwn(t *testing.T) {
	for name, open := range openings {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for _, replies := range []string{"", reply} {
				is.True(parse(t, open("lilies")+replies).session(call{}, "a") != parse(t, open("roses")+replies).session(call{}, "a"))
				is.True(parse(t, open("lilies")+replies).session(call{}, "a") != parse(t, open("lilies")+replies).session(call{}, "b"))
			}
		})
	}
}

func TestSessionHasTheWholeFingerprint(t *testing.T) {
	is := is.New(t)
	sum := sha256.Sum256([]byte("user: lilies\n"))
	is.Equal(parse(t, user("lilies")).session(call{}, "a"), "a/"+hex.EncodeToString(sum[:16]))
}

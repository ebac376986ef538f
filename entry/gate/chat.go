package gate

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"crocusfold.dev/core/account"
	"crocusfold.dev/core/block"
	"crocusfold.dev/core/loadlimit"
	"crocusfold.dev/core/quarantine"
	"crocusfold.dev/core/retrypolicy"
	"crocusfold.dev/core/workload"
	"crocusfold.dev/entry/cache"
	"crocusfold.dev/entry/configview"
	"crocusfold.dev/entry/explain"
	"crocusfold.dev/entry/message"
)

// prompt is what the gate reads of a chat completion request; the rest is
// passed on as it is.
type prompt struct {
	Model    string `json:"model"`
	Messages []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
	Stream bool   `json:"stream"`
	User   string `json:"user"`
}

// text returns the prompt in the form that block keys are made of.
func (p prompt) text() string {
	var b strings.Builder
	for _, m := range p.Messages {
		var s string
		if json.Unmarshal(m.Content, &s) != nil {
			s = string(m.Content)
		}
		b.WriteString(m.Role + ": " + s + "\n")
	}
	return b.String()
}

// openingMessages is how many messages identify a conversation; the system
// prompt alone may be the same for many.
const openingMessages = 2

// session names the conversation: what the caller says, or its first messages.
func (p prompt) session(c call, account string) string {
	if c.session != "" {
		return account + "/" + c.session
	}
	opening := p
	opening.Messages = p.Messages[:min(openingMessages, len(p.Messages))]
	return fmt.Sprintf("%s/%x", account, quarantine.NewFingerprint([]byte(opening.text())))
}

// chatRun is one chat completion on its way.
type chatRun struct {
	call    call
	account account.Account
	work    workload.Workload
	prompt  prompt
	view    *configview.View
	fields  map[string]json.RawMessage
	session string
	keys    []block.Key
	stored  cache.Found
	content quarantine.Fingerprint
	// version is the weight version that the request runs on to its end.
	version  string
	deadline time.Time
	note     explain.Explanation
	tried    map[string]bool
	tries    retrypolicy.Policy
	// sends is the number of engines that it was sent to.
	sends int
	// last is the engine that was tried last.
	last   string
	unlock func()
}

// chat answers POST /v1/chat/completions.
func (g *Gate) chat(ctx context.Context, c call) (answer, error) {
	if err := g.open(c); err != nil {
		return nil, err
	}
	a, err := g.identify(c)
	if err != nil {
		return nil, err
	}
	run, err := g.prepareChat(c, a)
	if err != nil {
		return nil, err
	}
	release, err := g.admit(ctx, c, a, run.work)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithDeadline(ctx, run.deadline)
	run.stored = g.Cache.Lookup(ctx, time.Now(), run.session, run.keys, run.view.Stores())
	ans := &chatAnswer{gate: g, run: run, ctx: ctx, done: func() {
		cancel()
		release()
	}}
	// The first event is fetched here, so that a failure before it gets a plain
	// error answer with a status of its own.
	if err := ans.begin(); err != nil {
		ans.close()
		return nil, err
	}
	return ans, nil
}

func (g *Gate) prepareChat(c call, a account.Account) (*chatRun, error) {
	run := &chatRun{call: c, account: a, view: g.Follow.View(), tried: map[string]bool{}}
	if err := errors.Join(json.Unmarshal(c.body, &run.prompt), json.Unmarshal(c.body, &run.fields)); err != nil {
		return nil, refuse(c.id, http.StatusBadRequest, "bad-json", "the body is not a chat completion request: "+err.Error())
	}
	if len(run.prompt.Messages) == 0 {
		return nil, refuse(c.id, http.StatusBadRequest, "no-messages", "messages must have at least one message")
	}
	w, ok := run.view.WorkloadForModel(run.prompt.Model)
	if !ok {
		return nil, refuse(c.id, http.StatusNotFound, "model-unknown", fmt.Sprintf("no work serves the model %q", run.prompt.Model))
	}
	run.work = w
	run.deadline = c.deadline(w.TimeoutOrDefault())
	run.session = run.prompt.session(c, a.Name)
	text := run.prompt.text()
	run.content = quarantine.NewFingerprint([]byte(w.Model + "\x00" + text))
	run.version = g.chooseVersion(run)
	run.keys = block.Keys(block.Scope{Account: a.Name, Model: w.Model, Adapter: w.Adapter, Version: run.version}, text)
	run.note = explain.Explanation{
		Request: c.id, Instance: g.Settings.Name, At: c.start, Account: a.Name, Work: w.Name, Offset: run.view.Offset,
	}
	return run, nil
}

// chooseVersion picks the weight version of a request. While replicas load a
// new version, each version gets requests as it has replicas.
func (g *Gate) chooseVersion(run *chatRun) string {
	versions := run.work.Versions()
	if len(versions) == 1 {
		return versions[0]
	}
	now := time.Now()
	counts := make([]int, len(versions))
	for _, u := range g.Follow.Upstreams(run.view, run.work) {
		held := g.Fleet.Status(now, u.Name).Version
		for i, v := range versions {
			if held == message.Digest(v) {
				counts[i]++
			}
		}
	}
	return loadlimit.ChooseVersion(message.Digest(run.session), versions, counts)
}

// body returns the request for an engine: the caller's, always streamed, with
// the blocks that may be imported.
func (r *chatRun) body(importing bool) ([]byte, error) {
	fields := map[string]json.RawMessage{}
	for k, v := range r.fields {
		fields[k] = v
	}
	fields["stream"] = json.RawMessage("true")
	delete(fields, "context_import")
	if importing {
		raw, err := json.Marshal(r.stored)
		if err != nil {
			return nil, fmt.Errorf("encoding the import: %w", err)
		}
		fields["context_import"] = raw
	}
	raw, err := json.Marshal(fields)
	if err != nil {
		return nil, fmt.Errorf("encoding the request: %w", err)
	}
	return raw, nil
}

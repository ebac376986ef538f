package gateway

import (
	"context"
	"encoding/hex"
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

// completionRequest holds the fields of a chat completion request that the gateway
// uses. All other fields are passed on to the engine unchanged.
type completionRequest struct {
	Model    string `json:"model"`
	Messages []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
	Stream bool   `json:"stream"`
	User   string `json:"user"`
}

// promptText returns the prompt as the text that block keys and fingerprints are
// computed from. A message content that is not a string is included as JSON.
func (r completionRequest) promptText() string {
	var b strings.Builder
	for _, m := range r.Messages {
		var s string
		if json.Unmarshal(m.Content, &s) != nil {
			s = string(m.Content)
		}
		b.WriteString(m.Role + ": " + s + "\n")
	}
	return b.String()
}

// opening returns the number of messages before the first response to the user, all if there
// is none. Every request of a conversation begins with the same ones. A fixed number does not
// suffice: a request may have fewer messages than later ones of its conversation, and many
// conversations have the same system prompt and greeting.
func (r completionRequest) opening() int {
	asked := false
	for i, m := range r.Messages {
		switch {
		case m.Role == "user":
			asked = true
		case m.Role == "assistant" && asked:
			return i
		}
	}
	return len(r.Messages)
}

// session returns a key of the conversation: the account with the caller's session id
// or, if there is none, with a hash of the opening messages.
func (r completionRequest) session(c call, account string) string {
	if c.session != "" {
		return account + "/" + c.session
	}
	opening := r
	opening.Messages = r.Messages[:r.opening()]
	fp := quarantine.NewFingerprint([]byte(opening.promptText()))
	return account + "/" + hex.EncodeToString(fp[:])
}

// chatRun is the state of one chat completion request.
type chatRun struct {
	call     call
	account  account.Account
	workload workload.Workload
	req      completionRequest
	// view is the configuration, as of the last attempt.
	view *configview.View
	// fields holds all fields of the caller's request, by name.
	fields  map[string]json.RawMessage
	session string
	// keys are the block keys of the prompt.
	keys []block.Key
	// stored holds the blocks of the prompt that a store has.
	stored      cache.LookupResult
	fingerprint quarantine.Fingerprint
	// version is the weight version of all attempts.
	version     string
	deadline    time.Time
	explanation explain.Explanation
	// attempted holds the names of the upstreams that are not attempted again.
	attempted   map[string]bool
	retryPolicy retrypolicy.Policy
	// attempts is the number of attempts so far, and lastAttempted the upstream of the
	// last one.
	attempts      int
	lastAttempted string
	// unlock releases the lock on the fingerprint; nil if the request has none.
	unlock func()
}

// chat serves POST /v1/chat/completions.
func (g *Gateway) chat(ctx context.Context, c call) (response, error) {
	if err := g.checkCurrent(c); err != nil {
		return nil, err
	}
	a, err := g.authenticate(c)
	if err != nil {
		return nil, err
	}
	run, err := g.prepareChat(c, a)
	if err != nil {
		return nil, err
	}
	release, err := g.admit(ctx, c, a, run.workload)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithDeadline(ctx, run.deadline)
	run.stored = g.Cache.Lookup(ctx, time.Now(), run.session, run.keys, run.view.Stores())
	resp := &chatResponse{gateway: g, run: run, ctx: ctx, cleanup: func() {
		cancel()
		release()
	}}
	// Fetch the first event before the response starts, so that a failure up to here is
	// reported with an HTTP status of its own.
	if err := resp.fetchFirst(); err != nil {
		resp.close()
		return nil, err
	}
	return resp, nil
}

// prepareChat parses and validates a request, and derives from it what the attempts
// need.
func (g *Gateway) prepareChat(c call, a account.Account) (*chatRun, error) {
	run := &chatRun{call: c, account: a, view: g.Follower.View(), attempted: map[string]bool{}}
	if err := errors.Join(json.Unmarshal(c.body, &run.req), json.Unmarshal(c.body, &run.fields)); err != nil {
		return nil, newCallError(c.id, http.StatusBadRequest, "bad-json", "the body is not a chat completion request: "+err.Error())
	}
	if len(run.req.Messages) == 0 {
		return nil, newCallError(c.id, http.StatusBadRequest, "no-messages", "messages must have at least one message")
	}
	w, ok := run.view.WorkloadForModel(run.req.Model)
	if !ok {
		return nil, newCallError(c.id, http.StatusNotFound, "model-unknown", fmt.Sprintf("no work serves the model %q", run.req.Model))
	}
	run.workload = w
	run.deadline = c.deadline(w.TimeoutOrDefault())
	run.session = run.req.session(c, a.Name)
	text := run.req.promptText()
	run.fingerprint = quarantine.NewFingerprint([]byte(w.Model + "\x00" + text))
	run.version = g.chooseVersion(run)
	run.keys = block.Keys(block.Scope{Account: a.Name, Model: w.Model, Adapter: w.Adapter, Version: run.version}, text)
	store, _ := cache.SelectStore(run.session, run.view.Stores())
	run.explanation = explain.Explanation{
		RequestID: c.id, Instance: g.Settings.Name, Start: c.start, Account: a.Name, Workload: w.Name, Offset: run.view.Offset,
		Session: run.session, Store: store.Name,
	}
	return run, nil
}

// chooseVersion returns the weight version for a request. While replicas load a new
// version, requests are distributed over the versions in proportion to the replicas
// that have loaded each.
func (g *Gateway) chooseVersion(run *chatRun) string {
	versions := run.workload.Versions()
	if len(versions) == 1 {
		return versions[0]
	}
	now := time.Now()
	counts := make([]int, len(versions))
	for _, u := range g.Follower.Upstreams(run.view, run.workload) {
		loaded := g.Admission.Status(now, u.Name).Version
		for i, v := range versions {
			if loaded == message.Digest(v) {
				counts[i]++
			}
		}
	}
	return loadlimit.ChooseVersion(message.Digest(run.session), versions, counts)
}

// engineBody returns the request body for an engine. It is the caller's with streaming
// turned on and, if importing is true, with the locations of the stored blocks. A
// context_import field of the caller is removed.
func (r *chatRun) engineBody(importing bool) ([]byte, error) {
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

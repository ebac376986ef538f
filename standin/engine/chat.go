package engine

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"crocusfold.dev/core/block"
	"crocusfold.dev/standin/fault"
)

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatRequest struct {
	Model     string    `json:"model"`
	Messages  []message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	// Import names the blocks that a store holds.
	Import *importRequest `json:"context_import"`
}

const defaultTokens = 16

func (r chatRequest) text() string {
	var b strings.Builder
	for _, m := range r.Messages {
		b.WriteString(m.Role + ": " + m.Content + "\n")
	}
	return b.String()
}

func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	e.abortIfDown()
	var req chatRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, "the request can't be read", http.StatusBadRequest)
		return
	}
	e.yieldToInteractive(r)
	ctx, _ := e.beginRequest()
	defer e.endRequest(ctx)
	w.Header().Set("X-Incarnation", e.currentIncarnation())
	w.Header().Set("X-Weight-Version", e.currentVersion())
	f := e.faults.Get()
	if want := r.Header.Get("X-Expected-Version"); want != "" && want != e.currentVersion() && !f.IgnoreVersion {
		w.Header().Set("X-Run", "not-run")
		http.Error(w, "another weight version is loaded", http.StatusConflict)
		return
	}
	if f.CrashWord != "" && strings.Contains(req.text(), f.CrashWord) {
		e.crash()
	}
	if ctx.Err() != nil {
		fault.Abort()
	}
	cached := e.prefill(ctx, r, req)
	e.stream(ctx, w, r, req, cached)
}

func (e *Engine) currentVersion() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.Version
}

func (e *Engine) currentIncarnation() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.incarnation()
}

// prefill makes the prompt's blocks present and returns how many were reused.
func (e *Engine) prefill(ctx context.Context, r *http.Request, req chatRequest) int {
	scope := block.Scope{Account: r.Header.Get("X-Cache-Salt"), Model: e.Model, Version: e.currentVersion()}
	keys := block.Keys(scope, req.text())
	cached := e.cachedBlocks(keys)
	if req.Import != nil {
		for cached < len(keys) && cached < len(req.Import.Blocks) && e.importBlock(ctx, req.Import, cached, keys[cached]) {
			cached++
		}
	}
	e.addPendingBlocks(len(keys) - cached)
	defer e.addPendingBlocks(cached - len(keys))
	wait(ctx, time.Duration(len(keys)-cached)*e.Params.PrefillTime)
	e.insert(keys)
	return cached * block.Tokens
}

func (e *Engine) addPendingBlocks(blocks int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pendingBlocks += time.Duration(blocks)
}

func (e *Engine) cachedBlocks(keys []block.Key) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for n < len(keys) && e.cache[keys[n]] > 0 {
		n++
	}
	return n
}

func (e *Engine) insert(keys []block.Key) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, k := range keys {
		if e.cache[k] == 0 {
			e.insertOrder = append(e.insertOrder, k)
			e.addEvent("stored", k)
		}
		e.cache[k] = 1
	}
	for len(e.insertOrder) > e.Params.CacheBlocks {
		e.addEvent("evicted", e.insertOrder[0])
		delete(e.cache, e.insertOrder[0])
		e.insertOrder = e.insertOrder[1:]
	}
}

type chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int     `json:"index"`
	Delta        delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

type delta struct {
	Content string `json:"content,omitempty"`
}

type usage struct {
	PromptTokens     int     `json:"prompt_tokens"`
	CompletionTokens int     `json:"completion_tokens"`
	Details          details `json:"prompt_tokens_details"`
}

type details struct {
	CachedTokens int `json:"cached_tokens"`
}

// Token returns the n-th token of the answer to a prompt; any replica of the
// same model and version gives the same.
func Token(model, version, text string, n int) string {
	sum := sha256.Sum256([]byte(fmt.Sprintf("%s|%s|%s|%d", model, version, text, n)))
	return hex.EncodeToString(sum[:3]) + " "
}

func (e *Engine) stream(ctx context.Context, w http.ResponseWriter, r *http.Request, req chatRequest, cached int) {
	id := r.Header.Get("X-Request-Id")
	f := e.faults.Get()
	if f.WrongRequest {
		id = "another-request"
	}
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Attempt", r.Header.Get("X-Attempt"))
	w.Header().Set("Content-Type", "text/event-stream")
	total := req.MaxTokens
	if total == 0 {
		total = defaultTokens
	}
	from, _ := strconv.Atoi(r.Header.Get("X-Resume-From"))
	text, version := req.text(), e.currentVersion()
	if f.WrongRequest {
		text = "another prompt"
	}
	for n := from; n < total; n++ {
		if f.TruncateAfter > 0 && n >= f.TruncateAfter {
			return
		}
		if ctx.Err() != nil || (f.BreakAfter > 0 && n-from >= f.BreakAfter) {
			fault.Abort()
		}
		c := chunk{ID: id, Object: "chat.completion.chunk", Model: req.Model, Choices: []choice{{Delta: delta{Token(e.Model, version, text, n)}}}}
		e.send(w, n+1, c)
		wait(ctx, e.Params.TokenTime)
		if r.Context().Err() != nil {
			return
		}
	}
	stop := "stop"
	u := &usage{len(strings.Fields(text)), total, details{cached}}
	e.send(w, total, chunk{ID: id, Object: "chat.completion.chunk", Model: req.Model, Choices: []choice{{FinishReason: &stop}}, Usage: u})
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}

// send writes one event; its id is the number of tokens sent so far.
func (e *Engine) send(w http.ResponseWriter, n int, c chunk) {
	raw, err := json.Marshal(c)
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, raw)
	_ = http.NewResponseController(w).Flush()
}

func wait(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
		fault.Abort()
	case <-time.After(d):
	}
}

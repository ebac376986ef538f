package gate

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"crocusfold.dev/core/attempt"
	"crocusfold.dev/entry/engineclient"
)

// chatAnswer writes one chat completion, streamed or whole. A stream that
// breaks is resumed at the next token on another engine of the same version.
type chatAnswer struct {
	gate *Gate
	run  *chatRun
	ctx  context.Context
	done func()

	source *source
	first  engineclient.Event
	// tokens is the number of tokens that were delivered.
	tokens int
	ended  bool
	usage  engineUsage
}

// engineChunk is what the gate reads of an engine's event.
type engineChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *engineUsage `json:"usage"`
}

type engineUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	Details          struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// begin gets the first event.
func (a *chatAnswer) begin() error {
	ev, err := a.next()
	if err != nil {
		return a.giveUp(err)
	}
	a.first = ev
	a.run.note.FirstToken = time.Since(a.run.call.start)
	a.gate.metrics.firstToken.RecordDuration(a.run.note.FirstToken)
	return nil
}

// next returns the next event from whichever engine runs the request, or
// io.EOF after the end marker.
func (a *chatAnswer) next() (engineclient.Event, error) {
	for {
		if a.source == nil {
			src, err := a.gate.openSource(a.ctx, a.run, a.tokens)
			if err != nil {
				return engineclient.Event{}, err
			}
			a.source = src
		}
		ev, err := a.source.stream.Next()
		if err == nil {
			a.tokens = max(a.tokens, ev.Tokens)
			return ev, nil
		}
		if errors.Is(err, io.EOF) && !errors.Is(err, engineclient.ErrBroken) {
			a.source.finish(a.ctx, nil)
			a.source = nil
			return ev, io.EOF
		}
		a.source.finish(a.ctx, err)
		a.source = nil
		if a.ctx.Err() != nil {
			return ev, err
		}
		if ref := a.gate.afterFailure(a.ctx, a.run, err); ref != nil {
			return ev, ref
		}
		a.gate.metrics.resumes.Inc(1)
	}
}

// giveUp turns an error into the final answer.
func (a *chatAnswer) giveUp(err error) *refusal {
	var r *refusal
	if !errors.As(err, &r) {
		r = refuse(a.run.call.id, http.StatusBadGateway, "upstream-failed", err.Error()).state(attempt.Unknown).retry(retrySoon)
	}
	if a.ctx.Err() != nil && r.status != http.StatusUnprocessableEntity {
		r = refuse(a.run.call.id, http.StatusGatewayTimeout, "deadline", "the request's time is over").state(r.run).retry(retrySoon)
	}
	a.ended = true
	a.run.note.Outcome, a.run.note.Run = r.code, string(r.run)
	return r
}

func (a *chatAnswer) write(w http.ResponseWriter) {
	defer a.close()
	w.Header().Set("X-Request-Id", a.run.call.id)
	if a.run.prompt.Stream {
		a.writeStream(w)
		return
	}
	a.writeWhole(w)
}

func (a *chatAnswer) writeStream(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	out := http.NewResponseController(w)
	for ev, err := a.first, error(nil); ; ev, err = a.next() {
		if errors.Is(err, io.EOF) && !errors.Is(err, engineclient.ErrBroken) {
			_, _ = io.WriteString(w, "data: [DONE]\n\n")
			a.complete()
			return
		}
		if err != nil {
			a.writeStreamError(w, a.giveUp(err))
			return
		}
		a.read(ev)
		if _, err := fmt.Fprintf(w, "data: %s\n\n", ev.Data); err != nil {
			a.run.note.Outcome = "caller-left"
			return
		}
		_ = out.Flush()
	}
}

// writeStreamError ends a stream that already has a status with an error
// event, and without the end marker.
func (a *chatAnswer) writeStreamError(w http.ResponseWriter, r *refusal) {
	a.gate.metrics.count(r.code)
	raw, err := json.Marshal(r.body())
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(w, "event: error\ndata: %s\n\n", raw)
}

func (a *chatAnswer) writeWhole(w http.ResponseWriter) {
	var text strings.Builder
	reason := ""
	for ev, err := a.first, error(nil); ; ev, err = a.next() {
		if errors.Is(err, io.EOF) && !errors.Is(err, engineclient.ErrBroken) {
			break
		}
		if err != nil {
			a.gate.encodeError(a.ctx, a.giveUp(err), w)
			return
		}
		c := a.read(ev)
		for _, ch := range c.Choices {
			text.WriteString(ch.Delta.Content)
			if ch.FinishReason != nil {
				reason = *ch.FinishReason
			}
		}
	}
	writeJSON(w, http.StatusOK, a.completion(text.String(), reason))
	a.complete()
}

func (a *chatAnswer) completion(text, reason string) map[string]any {
	return map[string]any{
		"id": a.run.call.id, "object": "chat.completion", "created": a.run.call.start.Unix(), "model": a.run.prompt.Model,
		"choices": []any{map[string]any{
			"index": 0, "finish_reason": reason,
			"message": map[string]string{"role": "assistant", "content": text},
		}},
		"usage": map[string]any{
			"prompt_tokens": a.usage.PromptTokens, "completion_tokens": a.usage.CompletionTokens,
			"total_tokens":          a.usage.PromptTokens + a.usage.CompletionTokens,
			"prompt_tokens_details": map[string]int{"cached_tokens": a.usage.Details.CachedTokens},
		},
	}
}

// read notes the usage that an event carries.
func (a *chatAnswer) read(ev engineclient.Event) engineChunk {
	var c engineChunk
	if json.Unmarshal(ev.Data, &c) == nil && c.Usage != nil {
		a.usage = *c.Usage
	}
	return c
}

// complete notes a whole answer.
func (a *chatAnswer) complete() {
	a.ended = true
	a.run.note.Outcome, a.run.note.Run = "ok", string(attempt.Ran)
	a.gate.metrics.count("ok")
}

// close ends whatever still runs, also when the caller has left.
func (a *chatAnswer) close() {
	if a.source != nil {
		a.source.abandon()
		a.source = nil
	}
	if a.run.unlock != nil {
		go a.run.unlock()
		a.run.unlock = nil
	}
	a.gate.book.Put(a.run.note)
	a.done()
}

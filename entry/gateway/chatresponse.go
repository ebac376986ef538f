package gateway

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

// chatResponse writes a chat completion to the caller, as a stream or as one JSON
// document. If an engine's stream breaks, it is resumed at the next token on another
// engine with the same weight version.
type chatResponse struct {
	gateway *Gateway
	run     *chatRun
	ctx     context.Context
	// cleanup cancels ctx and ends the request's admission.
	cleanup func()

	// stream is the stream of the current attempt; nil if there is none.
	stream *engineStream
	first  engineclient.Event
	// tokens is the number of tokens received, after which a stream is resumed.
	tokens int
	ended  bool
	usage  tokenUsage
}

// completionChunk holds the fields of an engine's event that the gateway uses.
type completionChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *tokenUsage `json:"usage"`
}

type tokenUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	Details          struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// fetchFirst fetches the first event and records the time to the first token.
func (r *chatResponse) fetchFirst() error {
	ev, err := r.next()
	if err != nil {
		return r.fail(err)
	}
	r.first = ev
	r.run.explanation.TimeToFirstToken = time.Since(r.run.call.start)
	r.gateway.metrics.firstToken.RecordDuration(r.run.explanation.TimeToFirstToken)
	return nil
}

// next returns the next event, or io.EOF after the end marker. It opens a stream if
// there is none, and resumes a failed one at another engine.
func (r *chatResponse) next() (engineclient.Event, error) {
	for {
		if r.stream == nil {
			stream, err := r.gateway.openStream(r.ctx, r.run, r.tokens)
			if err != nil {
				return engineclient.Event{}, err
			}
			r.stream = stream
		}
		ev, err := r.stream.events.Next()
		if err == nil {
			r.tokens = max(r.tokens, ev.Tokens)
			return ev, nil
		}
		if errors.Is(err, io.EOF) && !errors.Is(err, engineclient.ErrBroken) {
			r.stream.finish(r.ctx, nil)
			r.stream = nil
			return ev, io.EOF
		}
		r.stream.finish(r.ctx, err)
		r.stream = nil
		if r.ctx.Err() != nil {
			return ev, err
		}
		if callErr := r.gateway.handleFailure(r.ctx, r.run, err); callErr != nil {
			return ev, callErr
		}
		r.gateway.metrics.resumes.Inc(1)
	}
}

// fail returns the error response for err and records it as the outcome. Once ctx has
// ended, that is a time-out unless the request is banned.
func (r *chatResponse) fail(err error) *callError {
	var callErr *callError
	if !errors.As(err, &callErr) {
		callErr = newCallError(r.run.call.id, http.StatusBadGateway, "upstream-failed", err.Error()).withRunState(attempt.Unknown).withRetryAfter(shortRetryAfter)
	}
	if r.ctx.Err() != nil && callErr.status != http.StatusUnprocessableEntity {
		callErr = newCallError(r.run.call.id, http.StatusGatewayTimeout, "deadline", "the request's time is over").withRunState(callErr.runState).withRetryAfter(shortRetryAfter)
	}
	r.ended = true
	r.run.explanation.Outcome, r.run.explanation.RunState = callErr.code, string(callErr.runState)
	return callErr
}

func (r *chatResponse) write(w http.ResponseWriter) {
	defer r.close()
	w.Header().Set("X-Request-Id", r.run.call.id)
	if r.run.req.Stream {
		r.writeStream(w)
		return
	}
	r.writeNonStreamed(w)
}

func (r *chatResponse) writeStream(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	out := http.NewResponseController(w)
	for ev, err := r.first, error(nil); ; ev, err = r.next() {
		if errors.Is(err, io.EOF) && !errors.Is(err, engineclient.ErrBroken) {
			_, _ = io.WriteString(w, "data: [DONE]\n\n")
			r.recordCompletion()
			return
		}
		if err != nil {
			r.writeStreamError(w, r.fail(err))
			return
		}
		r.decode(ev)
		if _, err := fmt.Fprintf(w, "data: %s\n\n", ev.Data); err != nil {
			r.run.explanation.Outcome = "caller-left"
			return
		}
		_ = out.Flush()
	}
}

// writeStreamError ends a stream with an error event and without the end marker, since
// the HTTP status has been sent already.
func (r *chatResponse) writeStreamError(w http.ResponseWriter, callErr *callError) {
	r.gateway.metrics.count(callErr.code)
	raw, err := json.Marshal(callErr.body())
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(w, "event: error\ndata: %s\n\n", raw)
}

// writeNonStreamed reads the stream to its end and writes it as one JSON document.
func (r *chatResponse) writeNonStreamed(w http.ResponseWriter) {
	var text strings.Builder
	reason := ""
	for ev, err := r.first, error(nil); ; ev, err = r.next() {
		if errors.Is(err, io.EOF) && !errors.Is(err, engineclient.ErrBroken) {
			break
		}
		if err != nil {
			r.gateway.encodeError(r.ctx, r.fail(err), w)
			return
		}
		c := r.decode(ev)
		for _, ch := range c.Choices {
			text.WriteString(ch.Delta.Content)
			if ch.FinishReason != nil {
				reason = *ch.FinishReason
			}
		}
	}
	writeJSON(w, http.StatusOK, r.completion(text.String(), reason))
	r.recordCompletion()
}

func (r *chatResponse) completion(text, reason string) map[string]any {
	return map[string]any{
		"id": r.run.call.id, "object": "chat.completion", "created": r.run.call.start.Unix(), "model": r.run.req.Model,
		"choices": []any{map[string]any{
			"index": 0, "finish_reason": reason,
			"message": map[string]string{"role": "assistant", "content": text},
		}},
		"usage": map[string]any{
			"prompt_tokens": r.usage.PromptTokens, "completion_tokens": r.usage.CompletionTokens,
			"total_tokens":          r.usage.PromptTokens + r.usage.CompletionTokens,
			"prompt_tokens_details": map[string]int{"cached_tokens": r.usage.Details.CachedTokens},
		},
	}
}

// decode parses an event and records the token usage, if the event has it. An event
// that can't be parsed gives an incomplete chunk.
func (r *chatResponse) decode(ev engineclient.Event) completionChunk {
	var c completionChunk
	if json.Unmarshal(ev.Data, &c) == nil && c.Usage != nil {
		r.usage = *c.Usage
	}
	return c
}

// recordCompletion records that the caller was sent a complete response.
func (r *chatResponse) recordCompletion() {
	r.ended = true
	r.run.explanation.Outcome, r.run.explanation.RunState = "ok", string(attempt.Ran)
	r.gateway.metrics.count("ok")
}

// close ends the request, also if the response is incomplete. It releases the stream,
// the lock on the fingerprint and the admission, and stores the explanation.
func (r *chatResponse) close() {
	if r.stream != nil {
		r.stream.abandon()
		r.stream = nil
	}
	if r.run.unlock != nil {
		go r.run.unlock()
		r.run.unlock = nil
	}
	r.gateway.history.Put(r.run.explanation)
	r.cleanup()
}

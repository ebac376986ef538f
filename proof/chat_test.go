package proof

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"

	"crocusfold.dev/proof/deployment"
	"crocusfold.dev/standin/engine"
)

// chat ENTRY ACCOUNT [words=N] [tokens=N] [text=T] [version=V,V] [timeout=MS] [stream]
func (b *runner) chat(args []string) []string { return []string{b.sendChat(args)} }

func (b *runner) sendChat(args []string) string {
	opts := options(args)
	tokens := 8
	if v := opts["tokens"]; v != "" {
		tokens, _ = strconv.Atoi(v)
	}
	content := prompt(opts)
	stream := args[len(args)-1] == "stream"
	headers := map[string]string{"X-Request-Id": b.nextID()}
	if v := opts["timeout"]; v != "" {
		headers["X-Timeout-Ms"] = v
	}
	body, _ := json.Marshal(map[string]any{
		"model": "diseno", "max_tokens": tokens, "stream": stream,
		"messages": []map[string]string{{"role": "user", "content": content}},
	})
	resp, err := b.d.Do(deployment.Request{
		Instance: args[1], Method: http.MethodPost, Path: "/v1/chat/completions", Account: args[2], Headers: headers, Body: body,
	})
	if err != nil {
		return "no answer"
	}
	if resp.Status != http.StatusOK {
		return outcome(resp)
	}
	text, cached, complete := parseChat(resp.Body, stream)
	if !complete {
		return "200 ended with an error"
	}
	for _, version := range strings.Split(cmp.Or(opts["version"], "v1"), ",") {
		if text == expectedText(version, content, tokens) {
			return fmt.Sprintf("200 whole cached=%d", cached)
		}
	}
	return fmt.Sprintf("200 WRONG ANSWER %q", text)
}

// expectedText is what the stand-in answers on one weight version throughout.
func expectedText(version, content string, tokens int) string {
	want := ""
	for n := range tokens {
		want += engine.Token("diseno", version, "user: "+content+"\n", n)
	}
	return want
}

func prompt(opts map[string]string) string {
	n, _ := strconv.Atoi(opts["words"])
	words := []string{opts["text"]}
	for i := range n {
		words = append(words, "w"+strconv.Itoa(i))
	}
	return strings.Join(words, " ")
}

type chatResponse struct {
	Choices []struct {
		Delta   struct{ Content string }
		Message struct{ Content string }
	}
	Usage struct {
		Details struct {
			Cached int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	}
}

// parseChat returns the text of an answer and whether it came to its end.
func parseChat(raw []byte, stream bool) (text string, cached int, complete bool) {
	var c chatResponse
	if !stream {
		complete = json.Unmarshal(raw, &c) == nil && len(c.Choices) == 1
		if complete {
			text = c.Choices[0].Message.Content
		}
		return text, c.Usage.Details.Cached, complete
	}
	for line := range strings.SplitSeq(string(raw), "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text, cached, true
		}
		c = chatResponse{}
		_ = json.Unmarshal([]byte(data), &c)
		for _, ch := range c.Choices {
			text += ch.Delta.Content
		}
		cached = max(cached, c.Usage.Details.Cached)
	}
	return text, cached, false
}

// burst N ENTRY[,ENTRY] ACCOUNT [chat options] [brief] sends N different prompts at
// once and counts the answers.
func (b *runner) burst(args []string) []string {
	n, _ := strconv.Atoi(args[1])
	entries := strings.Split(args[2], ",")
	counts := map[string]int{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			chatArgs := append([]string{"chat", entries[i%len(entries)], args[3]}, args[4:]...)
			if options(args)["text"] == "" {
				chatArgs = append(chatArgs, fmt.Sprintf("text=prompt-%d", i))
			}
			got := b.sendChat(chatArgs)
			mu.Lock()
			defer mu.Unlock()
			counts[got]++
		})
	}
	wg.Wait()
	if got := checkBounds(counts, options(args)); got != "" {
		return []string{got}
	}
	allow := options(args)["allow"]
	return summary(counts, allow != "" || args[len(args)-1] == "brief", allow)
}

// checkBounds reports a number of whole answers outside of least=N and most=N.
func checkBounds(counts map[string]int, opts map[string]string) string {
	complete := 0
	for k, v := range counts {
		if strings.HasPrefix(k, "200 whole") {
			complete += v
		}
	}
	if n, err := strconv.Atoi(opts["least"]); err == nil && complete < n {
		return fmt.Sprintf("only %d whole answers: %v", complete, counts)
	}
	if n, err := strconv.Atoi(opts["most"]); err == nil && complete > n {
		return fmt.Sprintf("%d whole answers: %v", complete, counts)
	}
	return ""
}

// summary prints the counts; in brief, only those that are neither whole
// answers nor refusals with "not run" and a time to come back, nor of the
// status that is allowed besides.
func summary(counts map[string]int, brief bool, allow string) []string {
	var out []string
	for k, v := range counts {
		expected := strings.HasPrefix(k, "200 whole") || strings.HasSuffix(k, " not-run retry")
		expected = expected || (allow != "" && strings.HasPrefix(k, allow))
		if !brief || !expected {
			out = append(out, fmt.Sprintf("%d x %s", v, k))
		}
	}
	sort.Strings(out)
	return out
}

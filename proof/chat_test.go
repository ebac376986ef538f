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
func (b *bench) chat(args []string) []string { return []string{b.chatOnce(args)} }

func (b *bench) chatOnce(args []string) string {
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
	ans, err := b.d.Do(deployment.Call{
		Entry: args[1], Method: http.MethodPost, Path: "/v1/chat/completions", Account: args[2], Headers: headers, Body: body,
	})
	if err != nil {
		return "no answer"
	}
	if ans.Status != http.StatusOK {
		return outcome(ans)
	}
	text, cached, ended := readChat(ans.Body, stream)
	if !ended {
		return "200 ended with an error"
	}
	for _, version := range strings.Split(cmp.Or(opts["version"], "v1"), ",") {
		if text == wholeAnswer(version, content, tokens) {
			return fmt.Sprintf("200 whole cached=%d", cached)
		}
	}
	return fmt.Sprintf("200 WRONG ANSWER %q", text)
}

// wholeAnswer is what the stand-in answers on one weight version throughout.
func wholeAnswer(version, content string, tokens int) string {
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

type chatBody struct {
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

// readChat returns the text of an answer and whether it came to its end.
func readChat(raw []byte, stream bool) (text string, cached int, ended bool) {
	var c chatBody
	if !stream {
		ended = json.Unmarshal(raw, &c) == nil && len(c.Choices) == 1
		if ended {
			text = c.Choices[0].Message.Content
		}
		return text, c.Usage.Details.Cached, ended
	}
	for line := range strings.SplitSeq(string(raw), "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text, cached, true
		}
		c = chatBody{}
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
func (b *bench) burst(args []string) []string {
	n, _ := strconv.Atoi(args[1])
	entries := strings.Split(args[2], ",")
	counts := map[string]int{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			one := append([]string{"chat", entries[i%len(entries)], args[3]}, args[4:]...)
			if options(args)["text"] == "" {
				one = append(one, fmt.Sprintf("text=prompt-%d", i))
			}
			got := b.chatOnce(one)
			mu.Lock()
			defer mu.Unlock()
			counts[got]++
		})
	}
	wg.Wait()
	if got := outside(counts, options(args)); got != "" {
		return []string{got}
	}
	allow := options(args)["allow"]
	return summary(counts, allow != "" || args[len(args)-1] == "brief", allow)
}

// outside reports a number of whole answers outside of least=N and most=N.
func outside(counts map[string]int, opts map[string]string) string {
	whole := 0
	for k, v := range counts {
		if strings.HasPrefix(k, "200 whole") {
			whole += v
		}
	}
	if n, err := strconv.Atoi(opts["least"]); err == nil && whole < n {
		return fmt.Sprintf("only %d whole answers: %v", whole, counts)
	}
	if n, err := strconv.Atoi(opts["most"]); err == nil && whole > n {
		return fmt.Sprintf("%d whole answers: %v", whole, counts)
	}
	return ""
}

// summary prints the counts; in brief, only those that are neither whole
// answers nor refusals with "not run" and a time to come back, nor of the
// status that is allowed besides.
func summary(counts map[string]int, brief bool, allow string) []string {
	var out []string
	for k, v := range counts {
		fine := strings.HasPrefix(k, "200 whole") || strings.HasSuffix(k, " not-run retry")
		fine = fine || (allow != "" && strings.HasPrefix(k, allow))
		if !brief || !fine {
			out = append(out, fmt.Sprintf("%d x %s", v, k))
		}
	}
	sort.Strings(out)
	return out
}

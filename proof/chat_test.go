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

// chat INSTANCE ACCOUNT [words=N] [tokens=N] [text=T] [version=V,V] [timeout=MS]
// [stream] sends a chat request. The prompt is text followed by N words; tokens
// (default 8) is the length of the response. It prints "200 whole" and the cached
// tokens if the response is complete and all of it comes from one of the versions
// (default v1).
func (r *runner) chat(args []string) []string { return []string{r.sendChat(args)} }

func (r *runner) sendChat(args []string) string {
	opts := options(args)
	tokens := 8
	if v := opts["tokens"]; v != "" {
		tokens, _ = strconv.Atoi(v)
	}
	content := prompt(opts)
	stream := args[len(args)-1] == "stream"
	headers := map[string]string{"X-Request-Id": r.nextID()}
	if v := opts["timeout"]; v != "" {
		headers["X-Timeout-Ms"] = v
	}
	body, _ := json.Marshal(map[string]any{
		"model": "diseno", "max_tokens": tokens, "stream": stream,
		"messages": []map[string]string{{"role": "user", "content": content}},
	})
	resp, err := r.d.Do(deployment.Request{
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

// expectedText returns the stand-in's response if it uses one weight version
// throughout.
func expectedText(version, content string, tokens int) string {
	want := ""
	for n := range tokens {
		want += engine.Token("diseno", version, "user: "+content+"\n", n)
	}
	return want
}

// prompt returns the text option followed by as many words as the words option says.
func prompt(opts map[string]string) string {
	n, _ := strconv.Atoi(opts["words"])
	words := []string{opts["text"]}
	for i := range n {
		words = append(words, "w"+strconv.Itoa(i))
	}
	return strings.Join(words, " ")
}

// chatResponse is the body of a chat response or one event of a streamed one.
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

// parseChat returns the text of a response, its number of cached prompt tokens, and
// whether the response is complete: a stream must end with [DONE].
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

// burst N INSTANCE[,INSTANCE] ACCOUNT [chat options] [least=N] [most=N] [allow=STATUS]
// [brief] sends N chat requests at once, spread evenly over the instances, and counts
// the outcomes. The prompts differ unless text is given. It prints an error if the
// number of complete responses is outside least and most; otherwise the counts, with
// brief or allow only the unexpected ones (see summary).
func (r *runner) burst(args []string) []string {
	n, _ := strconv.Atoi(args[1])
	instances := strings.Split(args[2], ",")
	counts := map[string]int{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			chatArgs := append([]string{"chat", instances[i%len(instances)], args[3]}, args[4:]...)
			if options(args)["text"] == "" {
				chatArgs = append(chatArgs, fmt.Sprintf("text=prompt-%d", i))
			}
			got := r.sendChat(chatArgs)
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

// checkBounds returns an error text if the number of complete responses is below
// least=N or above most=N, and an empty string otherwise.
func checkBounds(counts map[string]int, opts map[string]string) string {
	complete := 0
	for k, v := range counts {
		if strings.HasPrefix(k, "200 whole") {
			complete += v
		}
	}
	if n, err := strconv.Atoi(opts["least"]); err == nil && complete < n {
		return fmt.Sprintf("%d complete responses, fewer than least: %v", complete, counts)
	}
	if n, err := strconv.Atoi(opts["most"]); err == nil && complete > n {
		return fmt.Sprintf("%d complete responses, more than most: %v", complete, counts)
	}
	return ""
}

// summary returns the counts, one line for each outcome. In brief it leaves out the
// expected outcomes: complete responses, refusals with not-run and Retry-After, and
// outcomes that begin with allow, if that is not empty.
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

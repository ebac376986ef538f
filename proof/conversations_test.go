package proof

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"crocusfold.dev/proof/deployment"
	"crocusfold.dev/standin/engine"
)

// chatMessage is one message of a conversation.
type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// turns is the number of requests of a conversation.
const turns = 3

// converse N ACCOUNT seed=T words=N [system=T] [greeting=T] [pause=D] runs N conversations.
// Each has three turns, a pause (default 1s) apart and each through another instance; over
// all of them, each instance follows each other one. A turn sends the whole conversation so
// far. The user's first message is seed, the number of the conversation and as many words as
// given; system and greeting come before it. It prints the counts of the outcomes of each
// turn.
func (r *runner) converse(args []string) []string {
	n, _ := strconv.Atoi(args[1])
	opts := options(args)
	names := r.d.InstanceNames()
	pause, err := time.ParseDuration(cmp.Or(opts["pause"], "1s"))
	if err != nil {
		return []string{err.Error()}
	}
	counts := make([]map[string]int, turns)
	for turn := range counts {
		counts[turn] = map[string]int{}
	}
	for i := range n {
		c := opening(opts, i)
		for turn := range turns {
			if turn > 0 {
				c = append(c, chatMessage{"user", "turn-" + strconv.Itoa(turn)})
				time.Sleep(pause)
			}
			step := 1 + i/len(names)%(len(names)-1)
			result, reply := r.sendTurn(names[(i+turn*step)%len(names)], args[2], c)
			counts[turn][result]++
			c = append(c, chatMessage{"assistant", reply})
		}
	}
	var out []string
	for turn, c := range counts {
		for _, line := range summary(c, false, "") {
			out = append(out, fmt.Sprintf("turn %d: %s", turn+1, line))
		}
	}
	return out
}

// opening returns the messages that conversation i begins with.
func opening(opts map[string]string, i int) []chatMessage {
	var c []chatMessage
	if v := opts["system"]; v != "" {
		c = append(c, chatMessage{"system", v})
	}
	if v := opts["greeting"]; v != "" {
		c = append(c, chatMessage{"assistant", v})
	}
	text := opts["seed"] + "-" + strconv.Itoa(i)
	return append(c, chatMessage{"user", prompt(map[string]string{"text": text, "words": opts["words"]})})
}

// turnTokens is the length of a turn's response.
const turnTokens = 8

// sendTurn sends a conversation and returns the outcome, as chat prints it, and the text of
// the response.
func (r *runner) sendTurn(instance, account string, c []chatMessage) (result, reply string) {
	body, _ := json.Marshal(map[string]any{"model": "diseno", "max_tokens": turnTokens, "messages": c})
	resp, err := r.d.Do(deployment.Request{
		Instance: instance, Method: http.MethodPost, Path: "/v1/chat/completions", Account: account,
		Headers: map[string]string{"X-Request-Id": r.nextID()}, Body: body,
	})
	if err != nil {
		return "no answer", ""
	}
	if resp.Status != http.StatusOK {
		return outcome(resp), ""
	}
	reply, cached, _ := parseChat(resp.Body, false)
	want, text := "", ""
	for _, m := range c {
		text += m.Role + ": " + m.Content + "\n"
	}
	for n := range turnTokens {
		want += engine.Token("diseno", "v1", text, n)
	}
	if reply != want {
		return fmt.Sprintf("200 WRONG ANSWER %q", reply), reply
	}
	return fmt.Sprintf("200 whole cached=%d", cached), reply
}

package gateway

import (
	"context"
	"net/http"
)

type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

func (l modelList) write(w http.ResponseWriter) { writeJSON(w, http.StatusOK, l) }

// models lists the models that the caller's account may use.
func (g *Gateway) models(_ context.Context, c call) (response, error) {
	a, err := g.authenticate(c)
	if err != nil {
		return nil, err
	}
	list := modelList{Object: "list", Data: []model{}}
	for _, w := range g.Follower.View().Intent.Works {
		if w.Model != "" && w.AllowsAccount(a.Name) {
			list.Data = append(list.Data, model{w.Model, "model", "crocusfold"})
		}
	}
	return list, nil
}

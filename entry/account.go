package entry

import (
	"net/http"
	"strconv"

	"mulberrydyke/plan"
	"mulberrydyke/refusal"
	"mulberrydyke/ticket"
	"mulberrydyke/web"
)

type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

type model struct {
	ID     plan.ModelID `json:"id"`
	Object string       `json:"object"`
}

// models lists what the account may use.
func (s *Server) models(c *call) error {
	out := modelList{Object: "list", Data: []model{}}
	for _, id := range c.holder.Entitlement.Models {
		out.Data = append(out.Data, model{ID: id, Object: "model"})
	}
	web.WriteJSON(c.w, http.StatusOK, out)
	return nil
}

type ticketList struct {
	Tickets []ticket.Token `json:"tickets"`
}

// issueTickets hands out tickets.
func (s *Server) issueTickets(c *call) error {
	count := 1
	if text := c.r.URL.Query().Get("count"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > ticketsMost {
			return refusal.New(refusal.BadRequest, "count: want 1 to 100")
		}
		count = n
	}
	var out ticketList
	for range count {
		token, err := s.tickets.Issue(c.holder.Account.ID)
		if err != nil {
			return err
		}
		out.Tickets = append(out.Tickets, token)
	}
	web.WriteJSON(c.w, http.StatusOK, out)
	return nil
}

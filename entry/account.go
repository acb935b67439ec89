package entry

import (
	"net/http"
	"strconv"

	"mulberrydyke/plan"
	"mulberrydyke/refusal"
	"mulberrydyke/ticket"
	"mulberrydyke/web"
)

// modelList is the response of /v1/models.
type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

// model describes one model in a modelList.
type model struct {
	ID     plan.ModelID `json:"id"`
	Object string       `json:"object"`
}

// listModels serves the list of models that the account may use.
func (s *Server) listModels(c *callContext) error {
	list := modelList{Object: "list", Data: []model{}}
	for _, id := range c.holder.Entitlement.Models {
		list.Data = append(list.Data, model{ID: id, Object: "model"})
	}
	web.WriteJSON(c.w, http.StatusOK, list)
	return nil
}

// ticketList is the response of /v1/tickets.
type ticketList struct {
	Tickets []ticket.Token `json:"tickets"`
}

// issueTickets issues as many tickets as the caller asks for, by default one.
func (s *Server) issueTickets(c *callContext) error {
	count := 1
	if param := c.r.URL.Query().Get("count"); param != "" {
		n, err := strconv.Atoi(param)
		if err != nil || n < 1 || n > maxTicketsPerCall {
			return refusal.New(refusal.BadRequest, "count: want 1 to 100")
		}
		count = n
	}
	var list ticketList
	for range count {
		token, err := s.tickets.Issue(c.holder.Account.ID)
		if err != nil {
			return err
		}
		list.Tickets = append(list.Tickets, token)
	}
	web.WriteJSON(c.w, http.StatusOK, list)
	return nil
}

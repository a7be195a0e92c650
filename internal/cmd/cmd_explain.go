package cmd

import (
	"fmt"
	"net/http"

	"github.com/pkg/errors"

	"github.com/marigoldscale/marigoldscale/internal/status"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Explain shows how a router would route a request.
type Explain struct {
	Team    string `required:"" help:"Team that sends the request."`
	Model   string `help:"Requested model." xor:"target"`
	Service string `help:"Requested plain service." xor:"target"`
	Class   string `help:"Request class."`
	Session string `help:"Session that the request belongs to."`
}

// Help returns the detailed help with examples.
func (Explain) Help() string {
	return `Asks one router how it would route such a request now, and why it would not
use each of the other candidates. The request is not run.

Examples:
  marigoldscale explain --team ledger --model condor
  marigoldscale explain --team ledger --model condor --class statement --session 81f0
  marigoldscale explain --team clinic --service booking`
}

// Run prints the candidates with their verdicts and reasons.
func (c *Explain) Run(r *Run) error {
	if c.Model == "" && c.Service == "" {
		return badInput(errors.New("neither --model nor --service is given"))
	}
	request := status.ExplainRequest{
		Team:    ident.TeamID(c.Team),
		Model:   ident.ModelID(c.Model),
		Class:   ident.ClassID(c.Class),
		Session: ident.SessionID(c.Session),
		Service: ident.ServiceID(c.Service),
	}
	var answer status.Explanation
	if err := r.callAny(http.MethodPost, "/v1/explain", request, &answer); err != nil {
		return fmt.Errorf("explain: %w", err)
	}
	if r.flags.JSON {
		return r.printJSON(answer)
	}
	if answer.Chosen == nil {
		fmt.Fprintf(r.Out, "refused: %s\n\n", answer.Refusal)
	}
	t := newTable("", "VERDICT", "RUNS", "ENDPOINT", "ZONE", "REASON")
	for _, choice := range answer.Choices {
		runs := choice.Release
		if runs == "" {
			runs = string(choice.Service)
		}
		t.addRow(string(choice.Verdict), runs, string(choice.Endpoint), string(choice.Zone), choice.Reason)
	}
	return r.printTables(t)
}

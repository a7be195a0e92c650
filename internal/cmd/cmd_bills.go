package cmd

import (
	"fmt"
	"sort"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/shard"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Bills sums the bills in the journal.
type Bills struct {
	Team  string    `help:"Only this team's bills."`
	Since time.Time `help:"Only bills at or after this time." placeholder:"RFC3339"`
	Until time.Time `help:"Only bills before this time." placeholder:"RFC3339"`
	Each  bool      `help:"List each bill instead of the sums."`
}

// billTotal is the sum of a team's bills for one release or service.
type billTotal struct {
	Team     ident.TeamID `json:"team"`
	Item     string       `json:"item"` // model@version or service
	Requests int          `json:"requests"`
	Prompt   ident.Tokens `json:"prompt"`
	Answer   ident.Tokens `json:"answer"`
	Cost     ident.Micros `json:"cost"`
}

// Help returns the detailed help with examples.
func (Bills) Help() string {
	return `Reads the journal on the platform. A request has one bill, however often it was
retried, hedged or resumed. During an outage of the platform the routers buffer
the most recent bills and write them once it has recovered.

Examples:
  marigoldscale bills
  marigoldscale bills --team ledger --since 2026-11-01T00:00:00Z
  marigoldscale bills --each --json`
}

// Run prints the sums of the bills, or each bill.
func (c *Bills) Run(r *Run) error {
	platform, err := r.platform()
	if err != nil {
		return err
	}
	all, err := r.Bills(r.ctx, platform)
	if err != nil {
		return fmt.Errorf("reading bills: %w", err)
	}
	bills := c.filter(all)
	if c.Each {
		return r.printBills(bills)
	}
	totals := sumBills(bills)
	if r.flags.JSON {
		return r.printJSON(totals)
	}
	t := newTable("", "TEAM", "ITEM", "REQUESTS", "PROMPT", "ANSWER", "COST")
	for _, total := range totals {
		t.addRow(string(total.Team), total.Item, fmt.Sprint(total.Requests), fmt.Sprint(total.Prompt), fmt.Sprint(total.Answer), formatMoney(total.Cost))
	}
	return r.printTables(t)
}

// filter returns the bills that match the flags, sorted by time.
func (c *Bills) filter(all []shard.Bill) []shard.Bill {
	matching := []shard.Bill{}
	for _, b := range all {
		other := c.Team != "" && b.Key.Team != ident.TeamID(c.Team)
		early := !c.Since.IsZero() && b.At.Before(c.Since)
		late := !c.Until.IsZero() && !b.At.Before(c.Until)
		if !other && !early && !late {
			matching = append(matching, b)
		}
	}
	sort.SliceStable(matching, func(i, j int) bool { return matching[i].At.Before(matching[j].At) })
	return matching
}

func (r *Run) printBills(bills []shard.Bill) error {
	if r.flags.JSON {
		return r.printJSON(bills)
	}
	t := newTable("", "WHEN", "TEAM", "REQUEST", "ITEM", "PROMPT", "ANSWER", "COST", "ATTEMPTS")
	for _, b := range bills {
		t.addRow(b.At.UTC().Format(time.RFC3339), string(b.Key.Team), string(b.Key.Request), itemName(b),
			fmt.Sprint(b.Prompt), fmt.Sprint(b.Answer), formatMoney(b.Cost), fmt.Sprint(b.Attempts))
	}
	return r.printTables(t)
}

// sumBills returns the sums by team and item, sorted by both.
func sumBills(bills []shard.Bill) []billTotal {
	type totalKey struct {
		team ident.TeamID
		item string
	}
	byKey := map[totalKey]*billTotal{}
	for _, b := range bills {
		key := totalKey{team: b.Key.Team, item: itemName(b)}
		total := byKey[key]
		if total == nil {
			total = &billTotal{Team: key.team, Item: key.item}
			byKey[key] = total
		}
		total.Requests++
		total.Prompt += b.Prompt
		total.Answer += b.Answer
		total.Cost += b.Cost
	}
	totals := make([]billTotal, 0, len(byKey))
	for _, total := range byKey {
		totals = append(totals, *total)
	}
	sort.Slice(totals, func(i, j int) bool {
		if totals[i].Team != totals[j].Team {
			return totals[i].Team < totals[j].Team
		}
		return totals[i].Item < totals[j].Item
	})
	return totals
}

func itemName(b shard.Bill) string {
	if b.Service != "" {
		return string(b.Service)
	}
	return b.Release.String()
}

package config

import (
	"fmt"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/internal/input"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// builder builds a configuration from the tables and validates it.
type builder struct {
	*tableSet
	config *fleet.Config
	paths  map[string]bool
}

func newBuilder() *builder {
	return &builder{tableSet: newTableSet(), config: newConfig(), paths: map[string]bool{}}
}

func (b *builder) readFile(f File) {
	if b.paths[f.Path] {
		b.problems = append(b.problems, Problem{File: f.Path, Message: "file is given twice", Accepted: "each path once"})
		return
	}
	b.paths[f.Path] = true
	d, problems := input.Parse(f)
	b.problems = append(b.problems, problems...)
	if d != nil {
		b.addDocument(d)
	}
}

func (b *builder) build() {
	b.buildZones()
	b.buildModels()
	b.buildServices()
	b.buildRollouts()
	b.buildTeams()
	b.buildEndpoints()
	b.applyOverlay()
	b.check()
}

func (b *builder) buildZones() {
	for _, o := range b.sorted(kindZone) {
		z := &fleet.Zone{ID: ident.ZoneID(o.name)}
		decodeObject(b.tableSet, o, zoneFields(), z)
		b.config.Zones[z.ID] = z
	}
}

func (b *builder) buildModels() {
	for _, o := range b.sorted(kindModel) {
		m := &fleet.Model{ID: ident.ModelID(o.name)}
		decodeObject(b.tableSet, o, modelFields(), m)
		b.config.Models[m.ID] = m
	}
}

func (b *builder) buildServices() {
	for _, o := range b.sorted(kindService) {
		s := &fleet.Service{ID: ident.ServiceID(o.name), Deadline: defaultDeadline}
		decodeObject(b.tableSet, o, serviceFields(), s)
		b.config.Services[s.ID] = s
	}
}

func (b *builder) buildRollouts() {
	for _, o := range b.sorted(kindRollout) {
		r := &fleet.Rollout{Model: ident.ModelID(o.name), Steps: defaultSteps(), Limits: defaultLimits()}
		decodeObject(b.tableSet, o, rolloutFields(), r)
		b.config.Rollouts[r.Model] = r
	}
}

func (b *builder) buildTeams() {
	for _, o := range b.sorted(kindTeam) {
		t := rawTeam{Team: defaultTeam()}
		t.ID = ident.TeamID(o.name)
		decodeObject(b.tableSet, o, teamFields(), &t)
		b.readKeys(o, &t)
		t.Models = parseGrants(t.grants)
		team := t.Team
		b.config.Teams[team.ID] = &team
	}
}

// readKeys copies the hashed keys. It reports a plain key without repeating it in
// the message.
func (b *builder) readKeys(o *object, t *rawTeam) {
	for i, key := range t.keys {
		if !isKeyHash(key) {
			message := fmt.Sprintf("key %d is not a hash, and a plain key is not allowed in a file; hash it by `marigoldscale keys hash`", i+1)
			b.problems = append(b.problems, o.problem("keys", message, acceptedHashes))
			continue
		}
		t.Keys = append(t.Keys, fleet.KeyHash(key))
	}
}

func (b *builder) buildEndpoints() {
	for _, o := range b.sorted(kindEndpoint) {
		e := rawEndpoint{EndpointSpec: fleet.EndpointSpec{ID: ident.EndpointID(o.name), ColdSlots: 1}}
		decodeObject(b.tableSet, o, endpointFields(), &e)
		if e.release != "" {
			e.Release, _ = ident.ParseRelease(e.release) // validated by the field
		}
		spec := e.EndpointSpec
		b.config.Endpoints[spec.ID] = &spec
	}
}

// parseGrants merges model and model@version entries into one grant per model. An
// entry without a version grants all versions.
func parseGrants(texts []string) []fleet.ModelGrant {
	var all []fleet.ModelGrant
	index := map[ident.ModelID]int{}
	for _, text := range texts {
		g := fleet.ModelGrant{Model: ident.ModelID(text)}
		if r, err := ident.ParseRelease(text); err == nil {
			g = fleet.ModelGrant{Model: r.Model, Versions: []ident.VersionID{r.Version}}
		}
		i, known := index[g.Model]
		switch {
		case !known:
			index[g.Model] = len(all)
			all = append(all, g)
		case len(g.Versions) == 0 || len(all[i].Versions) == 0:
			all[i].Versions = nil
		default:
			all[i].Versions = append(all[i].Versions, g.Versions...)
		}
	}
	return all
}

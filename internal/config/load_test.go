package config_test

import (
	"math/rand/v2"
	"os"
	"sort"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/marigoldscale/marigoldscale/internal/config"
	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// validConfig declares at least one object of most kinds.
const validConfig = `[zone.sur]
region = "lima"
[model.condor]
price = 1000
quality = 0.9
default = "v1"
versions = ["v1", "v2"]
[model.quena]
price = 100
quality = 0.7
default = "v1"
versions = ["v1"]
[service.hours]
[team.ledger]
models = ["condor@v1", "condor@v2", "quena"]
cheaper = ["quena"]
services = ["hours"]
[endpoint.one]
zone = "sur"
address = "10.0.0.1:80"
release = "condor@v1"
slots = 4
`

func file(path, text string) config.File {
	return config.File{Path: path, Text: []byte(text)}
}

func load(texts ...string) (*fleet.Config, config.Problems) {
	files := make([]config.File, len(texts))
	for i, text := range texts {
		files[i] = file(string(rune('a'+i))+".toml", text)
	}
	return config.Load(files)
}

var _ = Describe("Load", func() {
	DescribeTable("loads the example trees", func(dir string, teams, zones, endpoints int) {
		files, err := config.Collect(dir)
		Expect(err).NotTo(HaveOccurred())
		c, problems := config.Load(files)
		Expect(problems).To(BeEmpty())
		Expect(c.Teams).To(HaveLen(teams))
		Expect(c.Zones).To(HaveLen(zones))
		Expect(c.Endpoints).To(HaveLen(endpoints))
	},
		Entry("Lima", "testdata/lima", 10, 3, 13),
		Entry("Altiplano", "testdata/altiplano", 10, 4, 16),
	)

	It("merges a team declared in several files", func() {
		files, err := config.Collect("testdata/lima")
		Expect(err).NotTo(HaveOccurred())
		c, problems := config.Load(files)
		Expect(problems).To(BeEmpty())
		ledger := c.Teams["ledger"]
		Expect(ledger.Keys).To(Equal([]fleet.KeyHash{config.HashKey("lima-ledger-key")}))
		Expect(ledger.Deadline).To(Equal(45 * time.Second))
		Expect(ledger.Priority).To(Equal(fleet.PriorityHigh))
		Expect(c.Rollouts["condor"].Steps).To(HaveLen(3))
	})

	It("sets defaults and merges grants", func() {
		c, problems := load(validConfig)
		Expect(problems).To(BeEmpty())
		team := c.Teams["ledger"]
		Expect(team.Weight).To(Equal(1))
		Expect(team.Priority).To(Equal(fleet.PriorityNormal))
		Expect(team.Deadline).To(Equal(30 * time.Second))
		Expect(team.Models).To(ConsistOf(
			fleet.ModelGrant{Model: "condor", Versions: []ident.VersionID{"v1", "v2"}},
			fleet.ModelGrant{Model: "quena"}))
		Expect(c.Services["hours"].Idempotent).To(BeFalse())
		Expect(c.Endpoints["one"].ColdSlots).To(Equal(1))
	})

	It("computes a digest that depends on the files but not on their order", func() {
		files, err := config.Collect("testdata/lima")
		Expect(err).NotTo(HaveOccurred())
		digest := config.Digest(files)
		random := rand.New(rand.NewPCG(7, 7))
		random.Shuffle(len(files), func(i, j int) { files[i], files[j] = files[j], files[i] })
		c, _ := config.Load(files)
		Expect(c.Digest).To(Equal(digest))
		files[0].Path += "x"
		Expect(config.Digest(files)).NotTo(Equal(digest))
	})

	DescribeTable("reports the file, line, key and accepted values", func(text, want string) {
		c, problems := load(validConfig, text)
		Expect(c).To(BeNil())
		Expect(problems.Error()).To(ContainSubstring(want))
		for _, p := range problems {
			Expect(p.File).NotTo(BeEmpty())
			Expect(p.Accepted).NotTo(BeEmpty())
		}
	},
		Entry("syntax", "\n[zone.a\n", `b.toml:2: `),
		Entry("not UTF-8", "\xff", `b.toml: file is not UTF-8 text`),
		Entry("unknown table", "[tame.x]\na = 1", `b.toml:1: tame: unknown table; accepted: [team.NAME]`),
		Entry("plain value as a table", "team = 3", `b.toml:1: team: not a table`),
		Entry("plain value as an object", "[team]\nx = 3", `b.toml:2: team.x: not a table; accepted: [team.NAME]`),
		Entry("unknown key", "[team.x]\n\nwieght = 3", `b.toml:3: team.x.wieght: unknown key; accepted: burst, cheaper`),
		Entry("name with a space", `[team."a b"]`, `b.toml:1: team.a b: name "a b" is not accepted`),
		Entry("missing key", "[zone.x]", `b.toml:1: zone.x.region: key is missing; accepted: 1 to 63`),
		Entry("wrong type", "[team.x]\nweight = \"3\"", `b.toml:2: team.x.weight: "3" is not accepted; accepted: a whole number from 1 to 1000`),
		Entry("out of range", "[team.x]\nweight = 0", `b.toml:2: team.x.weight: 0 is not accepted`),
		Entry("not a number", "[team.x]\ntarget = nan", `b.toml:2: team.x.target: NaN is not accepted; accepted: a number from 0 to 1`),
		Entry("duration without a unit", "[team.x]\ndeadline = \"30\"", `accepted: a duration from "1ms" to "1h"`),
		Entry("unknown choice", "[team.x]\npriority = \"top\"", `accepted: one of ["batch" "normal" "high" "urgent"]`),
		Entry("plain key", "[team.x]\nkeys = [\"secret\"]", "`marigoldscale keys hash`"),
		Entry("unknown model", "[team.x]\nmodels = [\"puma\"]", `b.toml:2: team.x.models: model "puma" is not declared; accepted: condor, quena`),
		Entry("unknown version", "[team.x]\nmodels = [\"condor@v9\"]", `"v9" is not a version of model "condor"; accepted: v1, v2`),
		Entry("unknown service", "[team.x]\nservices = [\"nope\"]", `service "nope" is not declared; accepted: hours`),
		Entry("cheaper, not granted", "[team.x]\nmodels = [\"condor\"]\ncheaper = [\"quena\"]", `b.toml:3: team.x.cheaper: model "quena" is not among the team's models`),
		Entry("cheaper, but the most expensive", "[team.x]\nmodels = [\"condor\", \"quena\"]\ncheaper = [\"condor\"]", `model "condor" is not cheaper than any other`),
		Entry("burst without rate", "[team.x]\nburst = 3", `team.x.burst: burst without a rate`),
		Entry("default not a version", "[model.x]\nprice = 1\nquality = 0.5\ndefault = \"v2\"\nversions = [\"v1\"]", `b.toml:4: model.x.default: "v2" is not a version of model "x"`),
		Entry("withdrawn default", "[model.x]\nprice = 1\nquality = 0.5\ndefault = \"v1\"\nversions = [\"v1\"]\nwithdrawn = [\"v1\"]", `default version "v1" is withdrawn`),
		Entry("withdrawn, not a version", "[model.x]\nprice = 1\nquality = 0.5\ndefault = \"v1\"\nversions = [\"v1\"]\nwithdrawn = [\"v11\"]", `b.toml:6: model.x.withdrawn: "v11" is not a version`),
		Entry("unknown zone", "[endpoint.x]\nzone = \"s\"\naddress = \"h:1\"\nservice = \"hours\"\nslots = 1", `b.toml:2: endpoint.x.zone: zone "s" is not declared; accepted: sur`),
		Entry("release of no model", "[endpoint.x]\nzone = \"sur\"\naddress = \"h:1\"\nrelease = \"condor@v3\"\nslots = 1", `b.toml:4: endpoint.x.release: "v3" is not a version of model "condor"`),
		Entry("neither release nor service", "[endpoint.x]\nzone = \"sur\"\naddress = \"h:1\"\nslots = 1", `exactly one of release and service`),
		Entry("cold above slots", "[endpoint.x]\nzone = \"sur\"\naddress = \"h:1\"\nservice = \"hours\"\nslots = 1\ncold = 2", `b.toml:6: endpoint.x.cold: cold 2 is more than slots 1`),
		Entry("address used twice", "[endpoint.x]\nzone = \"sur\"\naddress = \"10.0.0.1:80\"\nservice = \"hours\"\nslots = 1", `endpoint.x.address: endpoint "one" has this address, too`),
		Entry("steps that do not rise", "[rollout.condor]\nto = \"v2\"\nsteps = [{share = 0.5}, {share = 0.5}]", `b.toml:3: rollout.condor.steps: step 2 does not raise the share of step 1`),
		Entry("step with an unknown key", "[rollout.condor]\nto = \"v2\"\nsteps = [{share = 0.5, users = 3}]", `rollout.condor.steps: [map[share:0.5 users:3]] is not accepted`),
		Entry("rollout to an unknown version", "[rollout.condor]\nto = \"v3\"", `b.toml:2: rollout.condor.to: "v3" is not a version`),
		Entry("rollout of an unknown model", "[rollout.puma]\nto = \"v3\"", `model "puma" is not declared`),
		Entry("one object in two files", "[zone.sur]\nregion = \"lima\"", `b.toml:1: zone.sur: already defined in a.toml:1`),
		Entry("one key of a team in two files", "[team.ledger]\nweight = 2\ncheaper = []", `b.toml:3: team.ledger.cheaper: already defined in a.toml:16`),
		Entry("overlay of an unknown zone", "[out]\nnorte = true", `b.toml:2: out.norte: zone "norte" is not declared; accepted: sur`),
		Entry("overlay value", "[hold]\ncondor = \"stop\"\n[start]\ncondor = \"v2\"", `accepted: one of ["paused" "aborted" "none"]`),
	)

	It("rejects a key used by two teams", func() {
		keys := `keys = ["` + string(config.HashKey("k")) + `"]`
		_, problems := load("[team.a]\n"+keys, "[team.b]\n"+keys)
		Expect(problems.Error()).To(Equal(`b.toml:2: team.b.keys: a key is also a key of team "a"; accepted: a key for one team, once`))
	})

	It("never repeats a plain key in a message", func() {
		_, problems := load("[team.a]\nkeys = [\"open-sesame\"]")
		Expect(problems).To(HaveLen(1))
		Expect(problems.Error()).NotTo(ContainSubstring("sesame"))
	})

	It("reports all problems at once, in the same order each time", func() {
		text := "[team.x]\nweight = 0\nmodels = [\"puma\"]\nbogus = 1\n[endpoint.y]\nslots = 0"
		_, first := load(text)
		Expect(len(first)).To(BeNumerically(">=", 6))
		Expect(sort.SliceIsSorted(first, func(i, j int) bool { return first[i].Line < first[j].Line })).To(BeTrue())
		for range 20 {
			_, again := load(text)
			Expect(again).To(Equal(first))
		}
	})
})

var _ = Describe("overlay", func() {
	release := ident.Release{Model: "condor", Version: "v2"}

	apply := func(settings ...config.Setting) config.File {
		text, err := config.ApplySettings(nil, settings)
		Expect(err).NotTo(HaveOccurred())
		return config.File{Path: config.OverlayPath, Text: text}
	}

	It("takes zones out, starts and pauses roll-outs, withdraws releases and sets defaults", func() {
		overlay := apply(config.SetZoneOut("sur", true), config.StartRollout(release), config.SetHold("condor", config.HoldPaused))
		c, problems := config.Load([]config.File{file("a", validConfig), overlay})
		Expect(problems).To(BeEmpty())
		Expect(c.Zones["sur"].Out).To(BeTrue())
		Expect(c.Rollouts["condor"].To).To(Equal(ident.VersionID("v2")))
		Expect(c.Rollouts["condor"].Paused).To(BeTrue())
		Expect(c.Rollouts["condor"].Steps).NotTo(BeEmpty())

		old := ident.Release{Model: "condor", Version: "v1"}
		overlay = apply(config.WithdrawRelease(old, "bad"), config.SetDefault(release))
		c, problems = config.Load([]config.File{file("a", validConfig), overlay})
		Expect(problems).To(BeEmpty())
		Expect(c.Models["condor"].IsActive("v1")).To(BeFalse())
		Expect(c.Models["condor"].Default).To(Equal(ident.VersionID("v2")))
		Expect(config.WithdrawnReleases([]config.File{overlay})).To(Equal([]ident.Release{old}))
	})

	It("treats entries of removed objects as stale, except withdrawals", func() {
		gone := ident.Release{Model: "gone", Version: "v1"}
		overlay := apply(config.SetZoneOut("norte", true), config.SetZoneOut("sur", true), config.StartRollout(gone),
			config.SetHold("gone", config.HoldPaused), config.WithdrawRelease(gone, "bad"))
		stale := config.StaleSettings([]config.File{file("a", validConfig)}, []config.File{file("a", validConfig), overlay})
		text, err := config.ApplySettings(overlay.Text, stale)
		Expect(err).NotTo(HaveOccurred())
		_, problems := config.Load([]config.File{file("a", validConfig), {Path: config.OverlayPath, Text: text}})
		Expect(problems).To(BeEmpty())
		Expect(string(text)).To(ContainSubstring("sur = true"))
		Expect(string(text)).To(ContainSubstring("gone@v1"))
	})

	It("treats entries as stale when the operators' file changes their value", func() {
		files := func(zone, rollout string, overlay config.File) []config.File {
			return []config.File{file("a", strings.Replace(validConfig, "[zone.sur]", "[zone.sur]\nout = "+zone, 1)), file("b", "[rollout.condor]\n"+rollout), overlay}
		}
		overlay := apply(config.SetZoneOut("sur", false), config.StartRollout(release), config.SetHold("condor", config.HoldPaused))
		old := files("false", "to = \"v2\"", overlay)
		Expect(config.StaleSettings(old, old)).To(BeEmpty())
		Expect(config.StaleSettings(old, files("true", "to = \"v2\"", overlay))).To(HaveLen(1))
		Expect(config.StaleSettings(old, files("false", "to = \"v1\"", overlay))).To(HaveLen(2))
		Expect(config.StaleSettings(old, files("false", "to = \"v2\"\naborted = true", overlay))).To(HaveLen(2))
	})

	It("replaces a default only if it is withdrawn", func() {
		overlay := apply(config.SetDefault(release))
		c, problems := config.Load([]config.File{file("a", validConfig), overlay})
		Expect(problems).To(BeEmpty())
		Expect(c.Models["condor"].Default).To(Equal(ident.VersionID("v1")))
	})
})

var _ = Describe("Diff", func() {
	It("lists each changed key", func() {
		old, _ := load(validConfig)
		updated, _ := load(strings.Replace(validConfig, "slots = 4", "slots = 5", 1) + "[zone.norte]\nregion = \"lima\"\n")
		var lines []string
		for _, d := range config.Diff(old, updated) {
			lines = append(lines, d.String())
		}
		Expect(lines).To(ContainElements("~ endpoint.one.slots: 4 -> 5", `+ zone.norte.region = "lima"`))
		Expect(lines).To(HaveLen(3), "the slots, and the region and out of the new zone")
		Expect(config.Diff(updated, updated)).To(BeEmpty())
	})
})

var _ = Describe("the key reference page", func() {
	It("lists every key with its accepted values and default", func() {
		page, err := os.ReadFile("../../docs/CONFIG.md")
		Expect(err).NotTo(HaveOccurred())
		for _, table := range config.Reference() {
			for _, key := range table.Keys {
				Expect(string(page)).To(ContainSubstring(key.MarkdownRow()), "key %s of [%s]", key.Name, table.Name)
			}
		}
	})
})

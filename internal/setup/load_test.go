package setup_test

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/marigoldscale/marigoldscale/internal/input"
	"github.com/marigoldscale/marigoldscale/internal/setup"
)

const validSettings = `router = "r1"
zone = "lima-sur"
listen = "127.0.0.1:8080"
admin = "127.0.0.1:9100"
peer = "127.0.0.1:9200"
platform = "http://127.0.0.1:7000"
[times]
stale = "3s"
[token]
key = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"
`

func readSettings(text string) (setup.Settings, input.Problems) {
	return setup.Read(input.File{Path: "r.toml", Text: []byte(text)})
}

var _ = Describe("Load", func() {
	It("reads a valid file and fills in the defaults", func() {
		path := filepath.Join(GinkgoT().TempDir(), "r.toml")
		Expect(os.WriteFile(path, []byte(validSettings), 0o600)).To(Succeed())
		s, err := setup.Load(path)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Times.Stale).To(Equal(3 * time.Second))
		Expect(s.Times.Heartbeat).To(Equal(setup.Default().Times.Heartbeat))
		Expect(s.Log.Level).To(Equal("info"))
	})

	It("names the missing file", func() {
		_, err := setup.Load("nowhere.toml")
		Expect(err).To(MatchError(ContainSubstring("nowhere.toml: open nowhere.toml")))
	})

	It("accepts its own defaults", func() {
		text := validSettings
		for _, section := range setup.Sections()[1:] {
			var lines []string
			for _, k := range section.Keys() {
				if k.Default != "" && k.Name != "stale" {
					lines = append(lines, k.Name+" = "+k.Default)
				}
			}
			header := "[" + section.Name + "]\n"
			if !strings.Contains(text, header) {
				text += header
			}
			text = strings.Replace(text, header, header+strings.Join(lines, "\n")+"\n", 1)
		}
		s, problems := readSettings(text)
		Expect(problems).To(BeEmpty())
		want, _ := readSettings(validSettings)
		Expect(s).To(Equal(want))
	})

	DescribeTable("reports the line, the key and the accepted values", func(old, text, want string) {
		s, problems := readSettings(strings.Replace(validSettings, old, text, 1))
		Expect(problems.Error()).To(ContainSubstring(want))
		Expect(s).To(Equal(setup.Settings{}))
	},
		Entry("unknown key", `zone =`, `zome =`, `r.toml:2: zome: unknown key; accepted: admin, listen`),
		Entry("missing key", `zone =`, `zome =`, `zone: key is missing`),
		Entry("unknown section", "[times]", "[timez]", `timez: unknown key`),
		Entry("section with a scalar value", "[times]\nstale = \"3s\"\n", "times = 3\n", `r.toml:7: times: not a table; accepted: [times]`),
		Entry("missing section", "[token]\nkey = \"00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff\"\n", "", `token.key: key is missing`),
		Entry("wrong type", `"lima-sur"`, `3`, `r.toml:2: zone: 3 is not accepted`),
		Entry("address", `"127.0.0.1:8080"`, `"127.0.0.1"`, `r.toml:3: listen: "127.0.0.1" is not accepted; accepted: host:port`),
		Entry("duplicate address", `9200`, `9100`, `r.toml:5: peer: the same address as admin`),
		Entry("URL", `http:`, `ftp:`, `r.toml:6: platform:`),
		Entry("out of range", `"3s"`, `"3h"`, `r.toml:8: times.stale: "3h" is not accepted; accepted: a duration from "100ms" to "1m"`),
		Entry("contradictory times", `"3s"`, `"900ms"`, `r.toml:8: times.stale: shorter than two heartbeats`),
		Entry("short key", `0011`, ``, `r.toml:10: token.key:`),
		Entry("incomplete TLS", "[times]", "[tls]\ncert = \"c.pem\"\n[times]", `r.toml:7: tls: only some of cert, key and ca`),
	)

	It("has every key in the configuration reference", func() {
		page, err := os.ReadFile("../../docs/CONFIG.md")
		Expect(err).NotTo(HaveOccurred())
		for _, section := range setup.Sections() {
			for _, k := range section.Keys() {
				Expect(string(page)).To(ContainSubstring(k.MarkdownRow()), "key %s of [%s]", k.Name, section.Name)
			}
		}
	})
})

func FuzzRead(f *testing.F) {
	for _, seed := range []string{validSettings, "", "router = []", "[times]\nstale = 1", "times = [{}]", "\xff", "[token.key]"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		s, problems := setup.Read(input.File{Path: "r.toml", Text: text})
		if len(problems) > 0 && !reflect.DeepEqual(s, setup.Settings{}) {
			t.Fatalf("settings %+v with problems %v", s, problems)
		}
	})
}

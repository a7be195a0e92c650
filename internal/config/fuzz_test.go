package config_test

import (
	"testing"

	"github.com/marigoldscale/marigoldscale/internal/config"
)

func FuzzLoad(f *testing.F) {
	for _, dir := range []string{"testdata/lima", "testdata/altiplano"} {
		files, err := config.Collect(dir)
		if err != nil {
			f.Fatal(err)
		}
		for _, file := range files {
			f.Add(file.Text)
		}
	}
	seeds := []string{
		validConfig, "", "\x00", "a.b.c = 1", "[team.\"\"]", "[out]\nx = {y = 1}", "[[team]]\n", "[[team.x]]\n",
		"[withdrawn]\n\"a@b\" = 1", "[start]\ncondor = 3", "[hold]\nx = []", "team = []", "[rollout.x]\nsteps = [[1]]",
		"[zone.a]\nregion = 1979-05-27T07:32:00Z", "[team.x]\nkeys = [[]]\ndeadline = \"-1s\"",
	}
	for _, seed := range seeds {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		files := []config.File{{Path: "a", Text: text}, {Path: "b", Text: []byte(validConfig)}}
		c, problems := config.Load(files)
		if (c == nil) != (len(problems) > 0) {
			t.Fatalf("configuration %v with problems %v", c, problems)
		}
		for _, p := range problems {
			if p.File == "" || p.Message == "" || p.Accepted == "" {
				t.Fatalf("incomplete problem: %+v", p)
			}
		}
		_ = config.WithdrawnReleases(files)
		_ = config.StaleSettings(nil, files)
	})
}

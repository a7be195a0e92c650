package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"time"
)

// The deploy file's command and template.
const (
	deployFile   = "deploy/system.toml"
	templateFile = "deploy/router.toml"
)

// router is one process of the deploy file's role.
type router struct {
	name, front, ready string
	zone               string
	words              []string // of the command
	settings           string   // path of the settings file
	output             *os.File
	command            *exec.Cmd
	exited             chan struct{}
	since              time.Time // latest start
}

// deployed returns the words of the deploy file's run line.
func deployed() ([]string, error) {
	text, err := os.ReadFile(deployFile)
	if err != nil {
		return nil, err
	}
	found := regexp.MustCompile(`(?m)^run = "([^"]+)"`).FindSubmatch(text)
	if found == nil {
		return nil, fmt.Errorf("%s has no run line", deployFile)
	}
	return strings.Fields(string(found[1])), nil
}

// nextPort is below the ephemeral range, whose ports outgoing connections take.
var nextPort = 15000 + os.Getpid()*37%14000

func freePort() (int, error) {
	for range 5000 {
		nextPort++
		if nextPort >= 30000 {
			nextPort = 15000
		}
		if l, err := net.Listen("tcp4", fmt.Sprint("127.0.0.1:", nextPort)); err == nil {
			_ = l.Close()
			return nextPort, nil
		}
	}
	return 0, fmt.Errorf("no free port")
}

// startRouters starts n routers in zones norte-a, norte-b and norte-c and waits until all
// are ready.
func (r *run) startRouters(n int) error {
	words, err := deployed()
	if err != nil {
		return err
	}
	template, err := os.ReadFile(templateFile)
	if err != nil {
		return err
	}
	for i := range n {
		var ports [5]int
		for k := range ports {
			if ports[k], err = freePort(); err != nil {
				return err
			}
		}
		zone := fmt.Sprintf("norte-%c", 'a'+i%3)
		p := &router{
			name: fmt.Sprintf("edge-%s-%d", zone, i/3+1), zone: zone, words: words,
			front: fmt.Sprint("127.0.0.1:", ports[0]), ready: fmt.Sprint("127.0.0.1:", ports[1]),
		}
		text := render(string(template), platformFields(p, fmt.Sprint("127.0.0.1:", ports[2]), ports[3], ports[4], r.store.address), "", "")
		p.settings = filepath.Join(r.dir, p.name+".conf")
		if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
			return err
		}
		if p.output, err = os.Create(filepath.Join(r.dir, p.name+".log")); err != nil {
			return err
		}
		r.routers = append(r.routers, p)
	}
	for _, p := range r.routers {
		if err := r.start(p); err != nil {
			return err
		}
	}
	return r.awaitReady(r.routers...)
}

// start starts a router's process.
func (r *run) start(p *router) error {
	c := exec.Command(p.words[0], p.words[1:]...)
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MARIGOLDSCALE_NODE_FILE=" + p.settings}
	c.Stdout, c.Stderr = p.output, p.output
	if err := c.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	done := make(chan struct{})
	p.command, p.exited, p.since = c, done, time.Now()
	go func() {
		_ = c.Wait()
		close(done)
	}()
	r.note("%s starts", p.name)
	return nil
}

// kill kills a router's process if it runs, and waits for its end.
func (p *router) kill() {
	if p.command == nil {
		return
	}
	_ = p.command.Process.Kill()
	<-p.exited
}

// isReady asks a router whether it is ready, as the platform does.
func (p *router) isReady() bool {
	client := http.Client{Timeout: 300 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Get("http://" + p.ready + "/marigoldscale/readyz")
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

func (r *run) awaitReady(routers ...*router) error {
	end := time.Now().Add(25 * time.Second)
	for _, p := range routers {
		for !p.isReady() {
			if time.Now().After(end) {
				text, _ := os.ReadFile(p.output.Name())
				return fmt.Errorf("%s is not ready\n%s", p.name, bytes.TrimSpace(text))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	r.note("ready: all of %d routers", len(routers))
	return nil
}

// platformFields returns the fields from which the platform fills in the template, those of
// the site sesiones-norte.
func platformFields(p *router, control string, port0, port1 int, store string) map[string]any {
	return map[string]any{
		"node_name": p.name, "zone": p.zone, "ip": "127.0.0.1", "bootstrap": true,
		"listeners_map.frontend": p.front, "listeners_map.ready": p.ready, "listeners_map.control_plane": control,
		"internal_port_range.0": port0, "internal_port_range.1": port1,
		"zones":            [][2]string{{"norte-a", "es-norte"}, {"norte-b", "es-norte"}, {"norte-c", "es-norte"}},
		"limits.memory_mb": 284, "limits.cpu_quota": 0.4, "limits.link_mbps": "1000.0",
		"platform.address": store, "platform.reads_per_s": 2000, "platform.writes_per_s": 400,
		"bounds.exposure_share": 0.15, "bounds.exposure_slack": 30, "bounds.retry_budget_ratio": 0.9, "bounds.retry_min_extra": 52,
		"bounds.retry_window_s": 10, "bounds.grace_s": 8, "bounds.drain_ms": 2000, "bounds.config_apply_ms": 2000, "bounds.evacuate_ms": 5000,
		"bounds.session_ttl_s": 5,
	}
}

var (
	section     = regexp.MustCompile(`(?s)\{\{#([\w.]+)\}\}(.*?)\{\{/([\w.]+)\}\}`)
	placeholder = regexp.MustCompile(`\{\{([\w.@]+)\}\}`)
)

// render fills in the template.
func render(text string, fields map[string]any, key, current string) string {
	text = section.ReplaceAllStringFunc(text, func(s string) string {
		found := section.FindStringSubmatch(s)
		switch x := fields[found[1]].(type) {
		case nil:
			return ""
		case [][2]string:
			out := ""
			for _, e := range x {
				out += render(found[2], fields, e[0], e[1])
			}
			return out
		default:
			return render(found[2], fields, "", fmt.Sprint(x))
		}
	})
	return placeholder.ReplaceAllStringFunc(text, func(s string) string {
		switch name := strings.Trim(s, "{}"); name {
		case ".":
			return current
		case "@":
			return key
		default:
			return fmt.Sprint(fields[name])
		}
	})
}

package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"
	"unsafe"
)

// router is a router of the project, started with the command of the deploy file.
type router struct {
	scene                               *scene
	name, zone                          string
	listen, ready, admin, feed, handoff string
	storeAddress                        string
	memoryMB                            int
	core                                int
	ends                                int // times that the platform has ended the process for its memory
	process                             *exec.Cmd
	exited                              chan struct{}
	log                                 *os.File
	first                               bool
	highest                             int // highest resident memory seen, in KB
}

// settings returns deploy/router.toml as the platform fills it in.
func (x *router) settings() string {
	first := ""
	if x.first {
		first = "first = true\n"
	}
	return fmt.Sprintf(`router = %q
zone = %q
listen = %q
ready = %q
admin = %q
feed = %q
handoff = %q
%splatform = "http://%s"
zones = [
  { zone = "z-a", region = "r" },
  { zone = "z-b", region = "r" },
  { zone = "z-c", region = "r" },
]
exposure = 0.15
slack = 30

[limits]
memory = %d
share = 0.4
link = 1000.0
fds = 4100
reads = 2000
writes = 400

[retries]
share = 0.9
extra = 56
window = "10s"

[times]
grace = "8s"
drain = "2000ms"
apply = "2000ms"
cutoff = "5000ms"

session = "5s"
`, x.name, x.zone, x.listen, x.ready, x.admin, x.feed, x.handoff, first, x.storeAddress, x.memoryMB)
}

func (x *router) start() error {
	path := filepath.Join(x.scene.temp, x.name+".toml")
	if err := os.WriteFile(path, []byte(x.settings()), 0o600); err != nil {
		return fmt.Errorf("write settings of %s: %w", x.name, err)
	}
	if x.log == nil {
		f, err := os.Create(filepath.Join(x.scene.temp, x.name+".log"))
		if err != nil {
			return fmt.Errorf("log of %s: %w", x.name, err)
		}
		x.log = f
	}
	c := exec.Command(x.scene.binary, "relay")
	c.Env = append(os.Environ(), "MARIGOLDSCALE_NODE_FILE="+path)
	c.Stdout, c.Stderr = x.log, x.log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := startOnOneCore(c, x.core); err != nil {
		return fmt.Errorf("start %s: %w", x.name, err)
	}
	exited := make(chan struct{})
	x.process, x.exited = c, exited
	go func() {
		_ = c.Wait() // the exit is noted by its effects
		close(exited)
	}()
	return nil
}

func (x *router) signal(s syscall.Signal) { _ = x.process.Process.Signal(s) } // it may have ended

func (x *router) kill() {
	if x.process == nil {
		return
	}
	x.signal(syscall.SIGCONT)
	x.signal(syscall.SIGKILL)
	<-x.exited
}

func (x *router) running() bool {
	select {
	case <-x.exited:
		return false
	default:
		return true
	}
}

// isReady asks as the platform's balancer does.
func (x *router) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Get("http://" + x.ready + "/marigoldscale/readyz")
	if err != nil {
		return false
	}
	_ = r.Body.Close() // has no content
	return r.StatusCode == http.StatusOK
}

// memory returns the resident memory of the process in KB, 0 if it has ended.
func (x *router) memory() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", x.process.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if value, found := strings.CutPrefix(line, "VmRSS:"); found {
			n, _ := strconv.Atoi(strings.Fields(value)[0])
			x.highest = max(x.highest, n)
			return n
		}
	}
	return 0
}

func freeAddress() string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "127.0.0.1:1"
	}
	defer l.Close()
	return l.Addr().String()
}

// startOnOneCore starts a process on one core, as machines have one (limits.cores=1):
// the n-th of those that this process may use.
func startOnOneCore(c *exec.Cmd, n int) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var all, one [16]uint64
	if _, _, e := syscall.RawSyscall(syscall.SYS_SCHED_GETAFFINITY, 0, unsafe.Sizeof(all), uintptr(unsafe.Pointer(&all))); e != 0 {
		return fmt.Errorf("read the affinity: %w", e)
	}
	var cores []int
	for i := range len(all) * 64 {
		if all[i/64]&(1<<(i%64)) != 0 {
			cores = append(cores, i)
		}
	}
	core := cores[n%len(cores)]
	one[core/64] = 1 << (core % 64)
	setAffinity := func(mask *[16]uint64) {
		_, _, _ = syscall.RawSyscall(syscall.SYS_SCHED_SETAFFINITY, 0, unsafe.Sizeof(*mask), uintptr(unsafe.Pointer(mask))) // else it has all cores
	}
	setAffinity(&one)
	defer setAffinity(&all)
	return c.Start()
}

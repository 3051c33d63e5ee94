package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// host is one machine with its guavaedge process.
type host struct {
	sc             *scene
	name, zone, ip string
	packets        addrPort
	ready, control string
	settings       string
	seeds          []string
	cmd            *exec.Cmd
	exited         chan struct{}
}

// writeSettings writes what deploy/edge.toml.tmpl gives for a small deployment.
func (h *host) writeSettings() {
	b := h.sc.bounds
	text := fmt.Sprintf("[host]\nid = %q\ndomain = %q\npackets = %q\nready = %q\nmetrics = %q\ncontrol = %q\n\n[peers]\nseeds = [%s]\n\n[store]\naddress = %q\n\n[slow_start]\n",
		h.name, h.zone, h.packets.String(), h.ready, fmt.Sprintf("%s:%d", h.ip, metricsPort), h.control, `"`+strings.Join(h.seeds, `","`)+`"`, h.sc.storeAddress)
	if b.warmupOverage > 0 {
		text += fmt.Sprintf("overage = %v\nslack = %v\n", b.warmupOverage, b.warmupSlack)
	}
	text += fmt.Sprintf("\n[bounds]\nchange = \"%dms\"\ndrain = \"%dms\"\n", b.configMillis, b.drainMillis)
	if b.evacuateMillis > 0 {
		text += fmt.Sprintf("domain_drain = \"%dms\"\n", b.evacuateMillis)
	}
	text += "leave = \"6s\"\nmax_flow_age = \"60s\"\n"
	must(os.WriteFile(h.settings, []byte(text), 0o600))
}

// start starts the process with the command of the deploy file.
func (h *host) start() {
	logFile, err := os.OpenFile(filepath.Join(h.sc.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	h.cmd = exec.Command("target/guavaedge")
	h.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GUAVAWHARF_SETTINGS=" + h.settings}
	h.cmd.Stdout, h.cmd.Stderr = logFile, logFile
	must(h.cmd.Start())
	_ = logFile.Close()
	h.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		h.sc.log("host %s: process ended (%s)", h.name, cmd.ProcessState)
		close(exited)
	}(h.cmd, h.exited)
	h.sc.log("host %s: process started", h.name)
}

// signal sends a signal to the process that this scene started.
func (h *host) signal(s syscall.Signal) {
	_ = h.cmd.Process.Signal(s)
}

// stop ends the process as the platform does: SIGTERM, then SIGKILL after grace_s.
func (h *host) stop(grace time.Duration) {
	h.signal(syscall.SIGTERM)
	select {
	case <-h.exited:
	case <-time.After(grace):
		h.signal(syscall.SIGKILL)
		<-h.exited
	}
}

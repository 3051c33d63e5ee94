package edge

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavawharf/guavawharf/internal/ctl"
	"github.com/guavawharf/guavawharf/internal/protocol/edgeapi"
	"github.com/guavawharf/guavawharf/internal/transport/netrpc"
)

// guavactl runs a verb against hosts and returns its exit code, output and error output.
func guavactl(t *testing.T, options ctl.Options) (code int, out, errOut string) {
	if options.Output == "" {
		options.Output = ctl.OutputTable
	}
	options.Timeout = testTimeout
	var stdout, stderr bytes.Buffer
	command := ctl.NewCommand(options, nil, netrpc.Call, &stdout, &stderr, time.Now)
	code = command.Run(t.Context())
	return code, stdout.String(), stderr.String()
}

func TestOperatorSeesConfigurationInForce(t *testing.T) {
	b := startReadyHost(t)
	hosts := []string{b.settings().Control.String()}
	code, out, errOut := guavactl(t, ctl.Options{Verb: ctl.VerbEdgeConfig, Hosts: hosts, Output: ctl.OutputJSON})
	require.Equal(t, ctl.ExitInForce, code, errOut)
	var replies []edgeapi.ConfigReply
	require.NoError(t, json.Unmarshal([]byte(out), &replies))
	require.Len(t, replies, 1)
	require.EqualValues(t, 1, replies[0].Version)
	require.Len(t, replies[0].Routes, 2)
	require.Equal(t, servedAddress, replies[0].Routes[0].Address)
	require.Equal(t, 1, replies[0].Routes[0].Targets)
	_, out, _ = guavactl(t, ctl.Options{Verb: ctl.VerbEdgeConfig, Hosts: hosts})
	require.Contains(t, out, servedAddress.String())
}

func TestOperatorSeesTargetStatesAndHealth(t *testing.T) {
	b := newTestBed(t)
	dead := b.target("i-2a00000001", "a")
	b.target("i-2a00000002", "a")
	leaving := b.target("i-2a00000003", "a")
	b.start()
	b.eventually(func() bool { return b.logs.contains("i-2a00000003") && b.isReady() })
	dead.Stop()
	b.store.Put("servers", leaving.Name, leaving.Entry("taller", "a", "draining"))
	for range 10 {
		b.request(b.open())
	}
	hosts := []string{b.settings().Control.String()}
	targetRows := func() map[string]edgeapi.Target {
		_, out, _ := guavactl(t, ctl.Options{Verb: ctl.VerbEdgeTargets, Hosts: hosts, Output: ctl.OutputJSON})
		var replies []edgeapi.TargetsReply
		require.NoError(t, json.Unmarshal([]byte(out), &replies))
		rows := make(map[string]edgeapi.Target)
		for _, row := range replies[0].Targets {
			rows[row.Name] = row
		}
		return rows
	}
	b.eventually(func() bool { return targetRows()[leaving.Name].State == edgeapi.StateDraining })
	rows := targetRows()
	require.Equal(t, edgeapi.HealthDown, rows[dead.Name].Belief)
	require.Equal(t, edgeapi.HealthUp, rows["i-2a00000002"].Belief)
	require.Positive(t, rows["i-2a00000002"].Open)
	_, out, _ := guavactl(t, ctl.Options{Verb: ctl.VerbEdgeTargets, Hosts: hosts, Pool: "another"})
	require.NotContains(t, out, dead.Name)
}

func TestOperatorFindsAllHostsThroughASeed(t *testing.T) {
	first, _, _ := startTwoHosts(t)
	seed := first.settings().Control.String()
	options := ctl.Options{Verb: ctl.VerbEdgeHosts, Hosts: []string{seed}, All: true, Output: ctl.OutputJSON}
	code, out, errOut := guavactl(t, options)
	require.Equal(t, ctl.ExitInForce, code, errOut)
	var replies []edgeapi.HostReply
	require.NoError(t, json.Unmarshal([]byte(out), &replies))
	require.Len(t, replies, 2)
	require.True(t, replies[0].Ready)
	require.False(t, replies[0].Asks.IsValid(), "the first host reads from the store")
	require.Equal(t, seed, replies[1].Asks.String())
	require.EqualValues(t, 1, replies[1].Config)
}

func TestUnreachableHostExitsWithUnknown(t *testing.T) {
	b := newTestBed(t)
	for _, verb := range []ctl.Verb{ctl.VerbEdgeHosts, ctl.VerbEdgeConfig, ctl.VerbEdgeTargets} {
		code, _, errOut := guavactl(t, ctl.Options{Verb: verb, Hosts: []string{b.settings().Control.String()}})
		require.Equal(t, ctl.ExitUnknown, code)
		require.Contains(t, errOut, "refused")
	}
}

func TestOtherInterfaceVersionIsRejected(t *testing.T) {
	o := &operator{}
	query := edgeapi.Query{Version: edgeapi.Version + 1}
	require.ErrorContains(t, o.Config(query, nil), "version")
	require.ErrorContains(t, o.Targets(query, nil), "version")
	require.ErrorContains(t, o.Host(query, nil), "version")
}

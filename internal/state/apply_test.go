package state

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
)

func firstNote() *Note {
	return &Note{
		ID:           "first",
		AddDomains:   []DomainID{"b", "a"},
		SetCustomers: []Customer{{ID: "painter", Weight: 5}},
		AddServices: []ServiceSpec{
			{ID: "feed", Customer: "painter", Protocol: TCP, Address: netip.MustParseAddrPort("198.51.100.1:443")},
			{ID: "proof", Customer: "painter", Protocol: TCP, Address: netip.MustParseAddrPort("198.51.100.2:443")},
		},
		AddTargets: []TargetSpec{
			targetSpec("feed-2", "feed", "a", "192.0.2.2:6080"),
			targetSpec("feed-1", "feed", "b", "192.0.2.1:6080"),
			targetSpec("proof-1", "proof", "a", "192.0.2.9:6080"),
		},
	}
}

func targetSpec(id TargetID, service ServiceID, domain DomainID, address string) TargetSpec {
	return TargetSpec{ID: id, Service: service, Domain: domain, Address: netip.MustParseAddrPort(address), Weight: 1, Slots: 3, Connections: 2000}
}

func firstRelease(t *testing.T) *Release {
	release, problems := Apply(nil, firstNote())
	require.Empty(t, problems)
	return release
}

func TestApplySortsAndNumbersRelease(t *testing.T) {
	release := firstRelease(t)
	require.Equal(t, ReleaseVersion(1), release.Version)
	require.Equal(t, []DomainID{"a", "b"}, release.Domains)
	require.Equal(t, ServiceID("feed"), release.Services[0].ID)
	require.Equal(t, TargetID("feed-1"), release.Services[0].Targets[0].ID)
	numbers := make(map[TargetNumber]bool)
	for _, service := range release.Services {
		for _, target := range service.Targets {
			require.NotZero(t, target.Number)
			require.False(t, numbers[target.Number])
			numbers[target.Number] = true
		}
	}
}

func TestApplyDoesNotModifyBase(t *testing.T) {
	base := firstRelease(t)
	leaving := true
	next, problems := Apply(base, &Note{
		ID:              "second",
		Base:            1,
		AddTargets:      []TargetSpec{targetSpec("feed-3", "feed", "a", "192.0.2.3:6080")},
		ChangeTargets:   []TargetChange{{ID: "feed-2", Leaving: &leaving}},
		WithdrawTargets: []TargetID{"feed-1"},
	})
	require.Empty(t, problems)
	require.Equal(t, firstRelease(t), base)
	require.Len(t, next.Services[0].Targets, 2)
	require.True(t, next.Services[0].Targets[0].Leaving)
	require.Greater(t, uint32(next.Services[0].Targets[1].Number), uint32(base.Services[1].Targets[0].Number))
	require.Same(t, &base.Services[1].Targets[0], &next.Services[1].Targets[0])
}

func TestApplyReportsEveryProblem(t *testing.T) {
	heavy := uint32(101)
	cases := []struct {
		name string
		note Note
		want []ProblemCode
	}{
		{"no change", Note{Base: 1}, []ProblemCode{ProblemEmpty}},
		{"wrong base", Note{Base: 7, AddDomains: []DomainID{"c"}}, []ProblemCode{ProblemBase}},
		{"unknown service", Note{Base: 1, AddTargets: []TargetSpec{targetSpec("x", "none", "a", "192.0.2.8:1")}}, []ProblemCode{ProblemUnknown}},
		{"unknown domain", Note{Base: 1, AddTargets: []TargetSpec{targetSpec("x", "feed", "z", "192.0.2.8:1")}}, []ProblemCode{ProblemUnknown, ProblemInUse}},
		{"target address taken", Note{Base: 1, AddTargets: []TargetSpec{targetSpec("x", "feed", "a", "192.0.2.9:6080")}}, []ProblemCode{ProblemAddressTaken}},
		{"duplicate target", Note{Base: 1, AddTargets: []TargetSpec{targetSpec("feed-1", "feed", "a", "192.0.2.8:1")}}, []ProblemCode{ProblemDuplicate}},
		{"withdraws an unknown target", Note{Base: 1, WithdrawTargets: []TargetID{"none"}}, []ProblemCode{ProblemUnknown}},
		{"no target left", Note{Base: 1, WithdrawTargets: []TargetID{"proof-1"}}, []ProblemCode{ProblemNoTarget}},
		{"domain in use", Note{Base: 1, WithdrawDomains: []DomainID{"b"}}, []ProblemCode{ProblemInUse}},
		{"customer in use", Note{Base: 1, WithdrawCustomers: []CustomerID{"painter"}}, []ProblemCode{ProblemUnknown, ProblemUnknown}},
		{"target weight above the maximum", Note{Base: 1, ChangeTargets: []TargetChange{{ID: "feed-1", Weight: &heavy}}}, []ProblemCode{ProblemInvalidWeight}},
		{"without an unknown domain", Note{Base: 1, AddDomains: []DomainID{"c"}, Without: []DomainID{"z"}}, []ProblemCode{ProblemUnknown}},
		{"changed forwarding mode", Note{Base: 1, ChangeServices: []ServiceChange{{ID: "feed", Way: new(ForwardByHash)}}}, []ProblemCode{ProblemForwardingModeFixed}},
		{"service address taken", Note{Base: 1, AddServices: []ServiceSpec{
			{ID: "other", Customer: "painter", Protocol: TCP, Address: netip.MustParseAddrPort("198.51.100.1:443")},
		}}, []ProblemCode{ProblemAddressTaken}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			release, problems := Apply(firstRelease(t), &c.note)
			require.Nil(t, release)
			codes := make([]ProblemCode, 0, len(problems))
			for _, problem := range problems {
				codes = append(codes, problem.Code)
			}
			require.Equal(t, c.want, codes)
		})
	}
}

func TestApplyMovesServiceAddressInOneNote(t *testing.T) {
	base := firstRelease(t)
	next, problems := Apply(base, &Note{
		ID:               "move",
		Base:             1,
		WithdrawServices: []ServiceID{"proof"},
		AddServices: []ServiceSpec{
			{ID: "sheets", Customer: "painter", Protocol: TCP, Address: netip.MustParseAddrPort("198.51.100.2:443")},
		},
		AddTargets: []TargetSpec{targetSpec("sheet-1", "sheets", "a", "192.0.2.9:6080")},
	})
	require.Empty(t, problems)
	require.Equal(t, ServiceID("sheets"), next.Services[1].ID)
	require.NotEqual(t, base.Services[1].Number, next.Services[1].Number)
}

func TestApplyRejectsForwardingModeChange(t *testing.T) {
	base := firstRelease(t)
	_, problems := Apply(base, &Note{
		ID:             "second",
		Base:           1,
		ChangeServices: []ServiceChange{{ID: "proof", Way: new(ForwardByHash)}},
	})
	require.Len(t, problems, 1)
	require.Equal(t, ProblemForwardingModeFixed, problems[0].Code)
}

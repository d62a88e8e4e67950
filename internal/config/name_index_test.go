package config_test

import (
	"errors"
	"testing"

	"ploverreel/internal/endpointlist"
	"ploverreel/internal/fielderror"
	"ploverreel/policy"
)

func TestNameIndexTranslatesHostsAndClasses(t *testing.T) {
	names := parseWith(t, []any{"a", "b"}, "settings", "failureDomains").Names
	host := endpointlist.Host{Host: "s-0", Site: "b", Class: "k", Block: 3, Health: "draining", Share: 0.5, BornMs: 7}
	want := policy.Entry{Server: endpointlist.AddressOf("s-0"), Zone: 1, Cell: 3, MachineKind: 0, StartedMs: 7,
		Health: policy.HealthDraining, Weight: 0.5}
	if got := names.Entry(&host); got != want {
		t.Errorf("got entry %+v, want %+v", got, want)
	}
	host.Site, host.Class, want.Zone, want.MachineKind = "unknown", "unknown", -1, -1
	if got := names.Entry(&host); got != want {
		t.Errorf("got entry %+v of an unknown zone and machine kind, want %+v", got, want)
	}
	if class, known := names.Class("order"); class != 2 || !known {
		t.Errorf("got class %d and known %v, want 2 and true", class, known)
	}
	if _, known := names.Class("unknown"); known || names.HasTenants() {
		t.Errorf("got an unknown class known %v and tenants %v, want neither", known, names.HasTenants())
	}
}

func TestCheckReloadRejectsChangedNumbers(t *testing.T) {
	current := parseWith(t, []any{"a", "b"}, "settings", "failureDomains").Names
	for _, c := range []struct {
		name  string
		zones []any
		want  string // field of the error; "" if there is none
	}{
		{"the same", []any{"a", "b"}, ""},
		{"one more", []any{"a", "b", "c"}, ""},
		{"one less", []any{"a"}, "settings: failureDomains"},
		{"another order", []any{"b", "a"}, "settings: failureDomains"},
	} {
		t.Run(c.name, func(t *testing.T) {
			next := parseWith(t, c.zones, "settings", "failureDomains").Names
			err, field := current.CheckReload(&next), &fielderror.Error{}
			if err != nil && !errors.As(err, &field) || field.Field != c.want {
				t.Errorf("got error %v, want one of the field %q", err, c.want)
			}
		})
	}
}

package endpointlist_test

import (
	"errors"
	"testing"

	"ploverreel/internal/endpointlist"
	"ploverreel/internal/fielderror"
	"ploverreel/policy"
)

func TestAddressOfDependsOnNameAlone(t *testing.T) {
	first, again := endpointlist.AddressOf("s-1"), endpointlist.AddressOf("s-1")
	if other := endpointlist.AddressOf("s-2"); first != again || first == other {
		t.Fatalf("got %v and %v for one name and %v for another, want the first two alone equal", first, again, other)
	}
}

func TestParseReadsListsAndNamesTheInvalidField(t *testing.T) {
	for _, c := range []struct{ name, text, field string }{
		{"no hosts", `{"seq":1}`, "hosts"},
		{"host without a name", `{"hosts":[{"health":"gone"}]}`, "hosts[0].host"},
		{"second host's health unknown", `{"hosts":[{"host":"a","health":"gone"},{"host":"b","health":"well"}]}`, "hosts[1].health"},
		{"ready host without a port", `{"hosts":[{"host":"a","health":"ready","dial":"x"}]}`, "hosts[0].dial"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := endpointlist.Parse([]byte(c.text))
			var field *fielderror.Error
			if !errors.As(err, &field) || field.Field != c.field {
				t.Errorf("got error %v, want one of the field %s", err, c.field)
			}
		})
	}
	list, err := endpointlist.Parse([]byte(`{"seq":7,"whole":true,"hosts":[{"host":"a","health":"gone"}]}`))
	if err != nil || list.Seq != 7 || !list.Whole || endpointlist.HealthOf(&list.Hosts[0]) != policy.HealthGone {
		t.Errorf("got %+v and error %v, want whole list 7 with a host that is gone and no error", list, err)
	}
}

package stand

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Host is an entry of the list of bid servers.
type Host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMs float64 `json:"born_ms"`
}

// NewHost returns a ready bid server that has run for long.
func NewHost(name, dial string) Host {
	return Host{Host: name, Dial: dial, Site: "waw-1", Class: "std-1", Block: 1, Health: "ready", Share: 1}
}

// List is the whole list, or a change of it.
type List struct {
	Seq   int64  `json:"seq"`
	Whole bool   `json:"whole"`
	Hosts []Host `json:"hosts"`
}

// Discovery is a stand-in of discovery. It answers calls in the forms of the protocol page.
type Discovery struct {
	Addr string

	record *Record
	server *http.Server

	mu      sync.Mutex
	list    List
	changes []List        // each change, with its version
	changed chan struct{} // closed at the next change
	delay   time.Duration // of each answer
}

// NewDiscovery starts a discovery with the hosts.
func NewDiscovery(record *Record, seq int64, hosts ...Host) (*Discovery, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{Addr: listener.Addr().String(), record: record, changed: make(chan struct{}),
		list: List{Seq: seq, Whole: true, Hosts: hosts}}
	d.server = &http.Server{Handler: http.HandlerFunc(d.serve)}
	go func() { _ = d.server.Serve(listener) }()
	return d, nil
}

// Close ends discovery and its connections.
func (d *Discovery) Close() { d.server.Close() }

// SetDelay sets how long each call waits for its answer from now on.
func (d *Discovery) SetDelay(delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.delay = delay
	d.record.Printf("discovery at %s answers each call after %v", d.Addr, delay)
}

// List returns the whole list.
func (d *Discovery) List() List {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.copyList()
}

func (d *Discovery) copyList() List {
	list := d.list
	list.Hosts = append([]Host{}, d.list.Hosts...)
	return list
}

// Change changes or adds hosts and tells the watches. A host that is gone leaves the list.
func (d *Discovery) Change(hosts ...Host) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.list.Seq++
	for _, host := range hosts {
		kept := []Host{}
		for _, other := range d.list.Hosts {
			if other.Host != host.Host {
				kept = append(kept, other)
			}
		}
		if host.Health != "gone" {
			kept = append(kept, host)
		}
		d.list.Hosts = kept
		d.record.Printf("discovery at %s: version %d, %s is %s, born_ms %.0f", d.Addr, d.list.Seq, host.Host, host.Health, host.BornMs)
	}
	d.changes = append(d.changes, List{Seq: d.list.Seq, Hosts: hosts})
	close(d.changed)
	d.changed = make(chan struct{})
}

// since returns what changed after a version, or the whole list if the version is not known, and the
// channel that is closed at the next change.
func (d *Discovery) since(version int64) (list List, next chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	first := d.list.Seq - int64(len(d.changes))
	if version < first || version > d.list.Seq {
		return d.copyList(), d.changed
	}
	list = List{Seq: d.list.Seq, Hosts: []Host{}}
	for _, change := range d.changes[version-first:] {
		list.Hosts = append(list.Hosts, change.Hosts...)
	}
	return list, d.changed
}

func (d *Discovery) wait(ctx context.Context) {
	d.mu.Lock()
	delay := d.delay
	d.mu.Unlock()
	select {
	case <-time.After(delay):
	case <-ctx.Done():
	}
}

func (d *Discovery) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/endpoints" {
		http.NotFound(w, r)
		return
	}
	d.record.Printf("discovery at %s: call %s", d.Addr, r.URL.RequestURI())
	d.wait(r.Context())
	if r.Context().Err() != nil {
		d.record.Printf("discovery at %s: the caller gave up on %s", d.Addr, r.URL.RequestURI())
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if r.URL.Query().Get("follow") != "1" {
		_ = json.NewEncoder(w).Encode(d.List())
		d.record.Printf("discovery at %s: answered %s", d.Addr, r.URL.RequestURI())
		return
	}
	version, _ := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	d.follow(w, r, version)
}

func (d *Discovery) follow(w http.ResponseWriter, r *http.Request, version int64) {
	list, next := d.since(version)
	for {
		_ = json.NewEncoder(w).Encode(list)
		w.(http.Flusher).Flush()
		d.record.Printf("discovery at %s: wrote version %d to a watch, whole %v, %d hosts", d.Addr, list.Seq, list.Whole, len(list.Hosts))
		for waiting := true; waiting; {
			select {
			case <-next:
				waiting = false
			case <-time.After(2 * time.Second):
				fmt.Fprintln(w)
				w.(http.Flusher).Flush()
			case <-r.Context().Done():
				return
			}
		}
		list, next = d.since(list.Seq)
	}
}

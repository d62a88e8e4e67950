package peers

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Discovery is a stand-in for discovery. It tells changes on open watches and writes an empty line every
// 2 s.
type Discovery struct {
	Addr string
	// Write writes one list on an open answer; nil: at once, as one line.
	Write func(w http.ResponseWriter, list List) error

	// Wait is how long each call waits for its turn; nil: not at all.
	Wait func() time.Duration

	record *Record
	mu     sync.Mutex
	seq    int
	hosts  []Host
	at     map[string]int // version of the latest change of each host
	change chan struct{}  // closed at the next change
	server *http.Server
}

// NewDiscovery starts discovery with a list of the version seq.
func NewDiscovery(record *Record, seq int, hosts []Host) *Discovery {
	d := &Discovery{record: record, seq: seq, hosts: append([]Host(nil), hosts...), at: map[string]int{},
		change: make(chan struct{})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		Stop("discovery: %v", err)
	}
	d.Addr = listener.Addr().String()
	d.server = &http.Server{Handler: http.HandlerFunc(d.serve)}
	go d.server.Serve(listener)
	return d
}

// Set changes the health of a host, or adds one, and tells the watches.
func (d *Discovery) Set(changed ...Host) (at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seq++
	for _, host := range changed {
		kept := d.hosts[:0:0]
		for _, old := range d.hosts {
			if old.Host != host.Host {
				kept = append(kept, old)
			}
		}
		d.hosts = append(kept, host)
		d.at[host.Host] = d.seq
		d.record.Line("discovery has version %d: %s is %s", d.seq, host.Host, host.Health)
	}
	close(d.change)
	d.change = make(chan struct{})
	return time.Now()
}

// since returns the changes after a version, or the whole list, and a channel that is closed at the next
// change.
func (d *Discovery) since(version int, whole bool) (List, chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := List{Seq: d.seq, Whole: whole, Hosts: []Host{}}
	for _, host := range d.hosts {
		if whole && host.Health != "gone" || !whole && d.at[host.Host] > version {
			list.Hosts = append(list.Hosts, host)
		}
	}
	return list, d.change
}

func (d *Discovery) serve(w http.ResponseWriter, r *http.Request) {
	if d.Wait != nil {
		select {
		case <-time.After(d.Wait()):
		case <-r.Context().Done():
			d.record.Line("discovery: the caller gave up %s before its turn", r.URL)
			return
		}
	}
	query := r.URL.Query()
	if query.Get("follow") != "1" {
		list, _ := d.since(0, true)
		d.record.Line("discovery: whole list of version %d is asked for", list.Seq)
		d.write(w, list)
		return
	}
	version, _ := strconv.Atoi(query.Get("since"))
	d.record.Line("discovery: watch since %d", version)
	defer func() { d.record.Line("discovery: watch ended") }()
	w.WriteHeader(http.StatusOK)
	w.(http.Flusher).Flush()
	list, change := d.since(0, true) // the first answer is the whole list
	for {
		if len(list.Hosts) > 0 {
			if d.write(w, list) != nil {
				return
			}
			version = list.Seq
			d.record.Line("discovery: version %d is written", version)
		}
		for waiting := true; waiting; {
			select {
			case <-change:
				waiting = false
			case <-time.After(2 * time.Second):
				if _, err := fmt.Fprintln(w); err != nil {
					return
				}
				w.(http.Flusher).Flush()
			case <-r.Context().Done():
				return
			}
		}
		list, change = d.since(version, false)
	}
}

func (d *Discovery) write(w http.ResponseWriter, list List) error {
	if d.Write != nil {
		return d.Write(w, list)
	}
	text, _ := json.Marshal(list)
	_, err := fmt.Fprintf(w, "%s\n", text)
	w.(http.Flusher).Flush()
	return err
}

// Close ends all calls and takes no new ones.
func (d *Discovery) Close() { d.server.Close() }

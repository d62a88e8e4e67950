// Command 2 is the case of a bad client that hides a request in the body of another, behind two
// lengths that disagree.
package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"time"

	"ploverreel/review/stand"
)

func main() { stand.Run(os.Args[1], run) }

// outerID and hiddenID are the ids of the request that the client sends and of the one in its body.
const outerID, hiddenID = "outer-0000000001", "hidden-000000001"

func request(protocol, id string, headers ...string) string {
	return fmt.Sprintf("POST /order/u1 %s\r\nHost: backend.local\r\nRequest-Id: %s\r\nRequest-Timeout: 3000m\r\n%s\r\n",
		protocol, id, strings.Join(append(headers, ""), "\r\n"))
}

func run(record *stand.Record, temp string) (broken bool, err error) {
	server, err := stand.NewServer(record, "s-1", nil)
	if err != nil {
		return false, err
	}
	defer server.Close()
	discovery, err := stand.NewDiscovery(record, 1, stand.NewHost("s-1", server.Addr))
	if err != nil {
		return false, err
	}
	defer discovery.Close()
	listen, err := stand.FreeAddress()
	if err != nil {
		return false, err
	}
	agent, err := stand.StartAgent(record, temp, stand.Config("agent-1", listen, discovery.Addr, discovery.List()))
	defer agent.Kill()
	if err != nil {
		return false, err
	}

	hidden := request("HTTP/1.1", hiddenID, "Content-Length: 0")
	size := fmt.Sprintf("%x\r\n", len(hidden))
	text := request("HTTP/1.0", outerID, "Connection: keep-alive", fmt.Sprint("Content-Length: ", len(size)),
		"Transfer-Encoding: chunked") + size + hidden + "\r\n0\r\n\r\n"
	if !stand.Trouble() { // the same client sends one request as the protocol page says
		text = request("HTTP/1.1", outerID, "Content-Length: 4") + "body"
	}
	conn, err := net.Dial("tcp", agent.Addr)
	if err != nil {
		return false, err
	}
	defer conn.Close()
	record.Printf("the client sends %q", text)
	if _, err := io.WriteString(conn, text); err != nil {
		return false, err
	}
	_ = conn.SetReadDeadline(time.Now().Add(4 * time.Second))
	answer, err := io.ReadAll(conn)
	record.Printf("the client got %q (%v)", answer, err)

	for _, sent := range server.Sent() {
		if sent.ID == hiddenID {
			record.Printf("broken: %s ran the request %s, which was in the body of %s", sent.Server, sent.ID, outerID)
			broken = true
		}
	}
	return broken, nil
}

package agenttest

import (
	"io"
	"net"
)

// nextRequest is the text of a second request that a client sends before it disconnects.
const nextRequest = "GET /look/u1 HTTP/1.1\r\nHost: b\r\nRequest-Id: other\r\nRequest-Timeout: 30000m\r\n\r\n"

// Disconnects lists the ways in which a client can disconnect, by name. The client closes or resets
// its connection, does so right after it has sent another request, or closes only its sending side.
var Disconnects = map[string]func(client net.Conn){
	"close": func(client net.Conn) { client.Close() },
	"reset": func(client net.Conn) {
		_ = client.(*net.TCPConn).SetLinger(0)
		client.Close()
	},
	"close after next request": func(client net.Conn) {
		io.WriteString(client, nextRequest)
		client.Close()
	},
	"reset after next request": func(client net.Conn) {
		io.WriteString(client, nextRequest)
		_ = client.(*net.TCPConn).SetLinger(0)
		client.Close()
	},
	"half-close": func(client net.Conn) { _ = client.(*net.TCPConn).CloseWrite() },
}

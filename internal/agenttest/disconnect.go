package agenttest

import (
	"io"
	"net"
)

// nextRequest is the text of a request that a client sends behind another.
const nextRequest = "GET /look/u1 HTTP/1.1\r\nHost: b\r\nRequest-Id: other\r\nRequest-Timeout: 30000m\r\n\r\n"

// Disconnects are the ways in which a client can disconnect, by their names.
var Disconnects = map[string]func(client net.Conn){
	"close": func(client net.Conn) { client.Close() },
	"reset": func(client net.Conn) {
		_ = client.(*net.TCPConn).SetLinger(0)
		client.Close()
	},
	"close behind bytes": func(client net.Conn) {
		io.WriteString(client, nextRequest)
		client.Close()
	},
	"reset behind bytes": func(client net.Conn) {
		io.WriteString(client, nextRequest)
		_ = client.(*net.TCPConn).SetLinger(0)
		client.Close()
	},
	"end of its sending": func(client net.Conn) { _ = client.(*net.TCPConn).CloseWrite() },
}

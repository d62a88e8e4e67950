package controlplane

import (
	"errors"
	"fmt"
	"syscall"
)

// reservation reserves a port of the loopback interface for stand-ins that are killed and replaced.
// Its socket is bound and does not listen. While no stand-in runs, calls to the port are refused
// and no other socket of the machine can get the port.
type reservation struct{ fd, port int }

// reserve reserves a port that is free.
func reserve() (reservation, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return reservation{}, fmt.Errorf("port: %w", err)
	}
	r := reservation{fd: fd}
	if err = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err == nil {
		err = syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})
	}
	if err == nil {
		var addr syscall.Sockaddr
		if addr, err = syscall.Getsockname(fd); err == nil {
			if inet4, ok := addr.(*syscall.SockaddrInet4); ok {
				r.port = inet4.Port
				return r, nil
			}
			err = errors.New("no IPv4 address")
		}
	}
	r.release()
	return reservation{}, fmt.Errorf("port: %w", err)
}

// release ends the reservation of the port.
func (r reservation) release() { _ = syscall.Close(r.fd) }

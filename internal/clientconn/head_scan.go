package clientconn

import "bytes"

// headScan follows the text of one head as it is read. The zero value is ready for the first byte
// of a head.
type headScan struct {
	size      int  // bytes of the head so far
	lines     int  // complete lines so far that are not blank, including the request line
	lineBytes int  // bytes of the current line so far, without carriage returns
	ended     bool // the blank line that ends the head was read
}

// scan scans the next bytes that were read, and returns those behind the end of the head.
func (s *headScan) scan(text []byte) (behind []byte) {
	for len(text) > 0 && !s.ended {
		line, rest, complete := bytes.Cut(text, []byte("\n"))
		s.size += len(text) - len(rest)
		s.lineBytes += len(line) - bytes.Count(line, []byte("\r"))
		if complete {
			s.endLine()
		}
		text = rest
	}
	return text
}

// endLine completes the current line. A blank line ends the head unless it is before the request
// line, where the server skips it.
func (s *headScan) endLine() {
	if s.lineBytes > 0 {
		s.lines++
	} else {
		s.ended = s.lines > 0
	}
	s.lineBytes = 0
}

// headerLines returns the number of complete lines behind the request line.
func (s *headScan) headerLines() int { return max(s.lines-1, 0) }

// unscannedText is an upper bound of the text of a head that the server read together with an
// earlier request, so that it is not known where the head begins.
type unscannedText struct {
	size  int // bytes
	lines int
}

// add adds text that the server has read.
func (u *unscannedText) add(text []byte) {
	u.size += len(text)
	u.lines += bytes.Count(text, []byte("\n"))
}

// limit lowers the bound to the text that fits in the server's read buffer.
func (u *unscannedText) limit(bufferSize int) {
	u.size = min(u.size, bufferSize)
	u.lines = min(u.lines, u.size)
}

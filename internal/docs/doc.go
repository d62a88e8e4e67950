// Package docs has no code: its tests compare README.md and the pages under docs with the program.
// What a page names in code type has to exist, its links have to lead somewhere, and the list of
// log lines in docs/OPERATIONS.md has to be that of the code.
package docs

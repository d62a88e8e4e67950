// Package docs contains only tests. They compare README.md and the pages under docs with the code:
// each name that a page writes in code type has to exist, each link has to resolve, and the list of
// log lines in docs/OPERATIONS.md has to match the code. They also check that imports follow the
// layers.
package docs

package docs

import (
	"maps"
	"path"
	"slices"
	"strings"
	"testing"
)

// layers are the folders of the tree from the top down, as docs/ARCHITECTURE.md has them. A folder
// stands for those below it as well.
var layers = [][]string{
	{"cmd"},
	{"internal/fleet"},
	{"internal/agent"},
	{"internal/clientconn", "internal/backend", "internal/discovery", "internal/config"},
	{"internal/endpointlist", "internal/simwire"},
	{"internal/socket", "internal/fielderror"},
	{"policy"},
}

// layerOf returns the index of a folder's layer, and the folder of the layer that it belongs to; -1
// if it is in none.
func layerOf(folder string) (index int, within string) {
	for index, layer := range layers {
		for _, within := range layer {
			if folder == within || strings.HasPrefix(folder, within+"/") {
				return index, within
			}
		}
	}
	return -1, ""
}

// Imports run downwards only, and the decision module imports neither clock nor network.
func TestImportsRunDownwards(t *testing.T) {
	repo := readRepository(t)
	for _, name := range slices.Sorted(maps.Keys(repo.goFiles)) {
		from, within := layerOf(path.Dir(name))
		if isTest(name) || from < 0 {
			continue
		}
		for _, imported := range importPaths(repo.goFiles[name]) {
			folder, ours := strings.CutPrefix(imported, module+"/")
			to, target := layerOf(folder)
			switch {
			case within == "policy" && (ours || imported == "time" || imported == "net" || imported == "os"):
				t.Errorf("%s imports %s, want policy without it", name, imported)
			case ours && to <= from && target != within:
				t.Errorf("%s imports %s, want imports of lower layers alone", name, imported)
			}
		}
	}
}

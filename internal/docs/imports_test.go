package docs

import (
	"maps"
	"path"
	"slices"
	"strings"
	"testing"
)

// layers lists the directories of each layer from the top down, as docs/ARCHITECTURE.md does. A
// directory includes its subdirectories.
var layers = [][]string{
	{"cmd"},
	{"internal/fleet"},
	{"internal/agent"},
	{"internal/clientconn", "internal/backend", "internal/discovery", "internal/config"},
	{"internal/endpointlist", "internal/simwire"},
	{"internal/socket", "internal/fielderror"},
	{"policy"},
}

// layerOf returns the index of the layer that a directory belongs to, and the directory in layers
// that is or contains it. The index is -1 if the directory is in no layer.
func layerOf(dir string) (index int, member string) {
	for index, layer := range layers {
		for _, member := range layer {
			if dir == member || strings.HasPrefix(dir, member+"/") {
				return index, member
			}
		}
	}
	return -1, ""
}

// A package imports only packages of lower layers. The decision module, policy, imports no package
// of this module and neither time, net nor os.
func TestPackagesImportOnlyLowerLayers(t *testing.T) {
	repo := readRepository(t)
	for _, name := range slices.Sorted(maps.Keys(repo.goFiles)) {
		layer, member := layerOf(path.Dir(name))
		if isTest(name) || layer < 0 {
			continue
		}
		for _, imported := range importPaths(repo.goFiles[name]) {
			dir, inModule := strings.CutPrefix(imported, module+"/")
			importedLayer, importedMember := layerOf(dir)
			switch {
			case member == "policy" && (inModule || imported == "time" || imported == "net" || imported == "os"):
				t.Errorf("%s imports %s, want no such import in policy", name, imported)
			case inModule && importedLayer <= layer && importedMember != member:
				t.Errorf("%s imports %s, want only imports of lower layers", name, imported)
			}
		}
	}
}

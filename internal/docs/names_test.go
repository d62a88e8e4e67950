package docs

import (
	"maps"
	"path"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// recordPage is not looked up: it records what was run on older code, commit by commit. Its names are
// those of the code that was run, and a record is not rewritten when the code is renamed.
const recordPage = "docs/RUNS.md"

// foreign are single words in code type, all lower-case, that are neither names of the code nor texts
// that stand in it. The reason is what they are.
var foreign = map[string]string{
	"drain":     "rule of the score",
	"duplicate": "rule of the score",
	"failback":  "rule of the score",
	"flowing":   "word of the simulator's wire for a streamed answer that has begun",
}

// What README.md and the pages name in code type exists in the tree.
//
// A word in code type counts as a name by its form:
//
//   - Test..., Benchmark..., Fuzz...: a test; with "..." behind it, the beginning of one
//   - name.go, and a name with another ending that the tree has: a file
//   - a/b: a path from the root, or one that some file imports; bin/a is built from cmd/a
//   - a.b: a method or field of a type, a name that a package declares, or keys of JSON or of the log
//     one in the other, such as limits.cores; tierN.b and CLASS.b are of groups whose names are made
//   - a single word: a name that is declared in the tree (function, method, type, field, constant,
//     variable, package) or by Go itself, a key of JSON, or a text that stands in the code by itself,
//     such as a value of a setting, a flag or an attribute
//
// What is behind a name in brackets is not looked at: f(x), list[N]. All else is no name: texts with
// a space or a sign (commands, messages, types), words with a hyphen (flags, headers, commands), with a
// slash in front (targets of requests) or outside the repository (../a, and K/a for the kit), words in
// capitals (signals, variables of the environment), numbers. In blocks of code, which are commands and
// diagrams, the same is asked of files, tests, words with a capital inside or behind
// a point, and members of types and packages.
func TestPagesNameWhatExists(t *testing.T) {
	repo := readRepository(t)
	known := repo.names()
	used := map[string]bool{}
	for _, name := range repo.pages(t) {
		if name == recordPage {
			continue
		}
		for _, word := range wordsOf(repo.read(t, name)) {
			if foreign[word.text] != "" && !word.inBlock {
				used[word.text] = true
				continue
			}
			if problem := known.problem(word); problem != "" {
				t.Errorf("%s:%d: `%s`: %s", name, word.line, word.text, problem)
			}
		}
	}
	for _, word := range slices.Sorted(maps.Keys(foreign)) {
		switch {
		case !used[word]:
			t.Errorf("%s: no page names it any more", word)
		case known.words[word] || known.texts[word]:
			t.Errorf("%s: is in the code now", word)
		}
	}
}

// A name that is no more is found, in each of the forms that count as names.
func TestMissingNamesAreFound(t *testing.T) {
	repo := repositoryOf(t, map[string]string{"p/queue.go": `package p
import "net/http"
type Queue struct { inner; items []int ` + "`json:\"items\"`" + ` }
type inner struct { limit int ` + "`json:\"limits\"`" + ` }
func (q *Queue) Push(item int) { flag("graceful", http.MethodGet) }
const maxItems = 3
`, "p/queue_test.go": `package p
func TestQueuePushes(t *testing.T) {}
var inTest = "inTestText"
`})
	repo.paths["p"] = true
	known := repo.names()
	for _, c := range []struct {
		text  string
		found bool
	}{
		{"TestQueuePushes", true}, {"TestQueue...", true}, {"TestQueuePops", false}, {"TestStack...", false},
		{"queue.go", true}, {"p/queue.go", true}, {"stack.go", false}, {"p/stack.go", false}, {"q/queue.go", false},
		{"p/", true}, {"p/...", true}, {"q/...", false}, {"net/http", true}, {"../given/kit", true}, {"/ready", true},
		{"Queue.Push", true}, {"Queue.Push()", true}, {"Queue.Pop", false}, {"Queue.limit", true}, {"p.Queue", true},
		{"p.Stack", false}, {"p.Queue.Push", true}, {"p.Queue.Pop", false}, {"Stack.Push", false},
		{"http.Server", true}, {"limits.items", true}, {"limits[0].items", true}, {"inner.items", false}, {"limits.size", false},
		{"maxItems", true}, {"maxSize", false}, {"Queue", true}, {"Stack", false}, {"graceful", true}, {"abrupt", false},
		{"inTestText", false}, {"push", false}, {"EDGE_CONFIG", true}, {"Retry-After", true}, {"go test ./...", true},
		{"--servers", true}, {"0.45", true}, {"10ms", true}, {"[]byte", true}, {"graceful0.limits", true}, {"CLASS.limits", true}, {"CLASS.maxItems", false},
		{"recover", true}, {"bin/ploverreel", false},
	} {
		if got := known.problem(word{text: c.text}) == ""; got != c.found {
			t.Errorf("%s: got found %t, want %t", c.text, got, c.found)
		}
	}
	for text, found := range map[string]bool{"maxItems": true, "maxSize": false, "queue.go": true, "stack.go": false,
		"TestQueuePops": false, "clone": true, "Needs": true, "Queue.Push": true, "Queue.popAll": false,
		"Queue.Pop": false, "Queue.limit": true, "Queue.size": false} {
		if got := known.problem(word{text: text, inBlock: true}) == ""; got != found {
			t.Errorf("%s in a block: got found %t, want %t", text, got, found)
		}
	}
}

// Words in code type are read from lines and from blocks, and not from generated tables.
func TestWordsOfPages(t *testing.T) {
	got := wordsOf("# Page\n\nA `name` and `two words`.\n    `stillText`\n\n    block.go -> readBlock\n\n```\nfenced\n```\n" +
		"<!-- fleetbench:path -->\n`generated`\n<!-- /fleetbench -->\n`last`\n")
	want := []word{{"name", 3, false}, {"two words", 3, false}, {"stillText", 4, false}, {"block.go", 6, true},
		{"readBlock", 6, true}, {"fenced", 9, true}, {"last", 14, false}}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// word is one text in code type on a page.
type word struct {
	text    string
	line    int
	inBlock bool // a word of a block of code
}

// blockWord matches one word of a block: names, with points and slashes inside.
var blockWord = regexp.MustCompile(`[A-Za-z_][A-Za-z0-9_]*(?:[./][A-Za-z0-9_]+)*`)

// wordsOf returns the texts in code type of a page, but for those in generated tables, which
// 'fleetbench report' writes.
func wordsOf(page string) (words []word) {
	generated, fenced, block, blank := false, false, false, true
	for i, line := range strings.Split(page, "\n") {
		indented := strings.HasPrefix(line, "    ")
		switch {
		case strings.HasPrefix(line, "<!-- fleetbench:"):
			generated = true
		case strings.HasPrefix(line, "<!-- /fleetbench"):
			generated = false
		case generated:
		case strings.HasPrefix(line, "```"):
			fenced = !fenced
		case fenced, indented && (block || blank):
			block = true
			for _, text := range blockWord.FindAllString(line, -1) {
				words = append(words, word{text, i + 1, true})
			}
		default:
			block = block && strings.TrimSpace(line) == ""
			for _, span := range codeSpan.FindAllStringSubmatch(line, -1) {
				words = append(words, word{span[1], i + 1, false})
			}
		}
		blank = strings.TrimSpace(line) == ""
	}
	return words
}

// codeSpan is a text in code type within a line.
var codeSpan = regexp.MustCompile("`([^`]+)`")

var (
	brackets   = regexp.MustCompile(`\[[A-Za-z0-9]*\]|\([^()]*\)$`)
	nameForm   = regexp.MustCompile(`^[A-Za-z_][A-Za-z0-9_]*(?:[./][A-Za-z0-9_-]+)*(?:/|/?\.\.\.)?$`)
	numbered   = regexp.MustCompile(`[0-9N]$`)
	capitals   = regexp.MustCompile(`^[A-Z0-9_]+$`)
	mixedCase  = regexp.MustCompile(`[a-z0-9]\.?[A-Z]`)
	testPrefix = regexp.MustCompile(`^(Test|Benchmark|Fuzz)[A-Z]`)
)

// isTestName reports whether 'go test' runs a function of the name.
func isTestName(name string) bool { return testPrefix.MatchString(name) }

// problem says why a text in code type names nothing; "" if it names something or is no name.
func (n *names) problem(w word) string {
	text := brackets.ReplaceAllString(w.text, "")
	if w.inBlock && !n.isNameInBlock(text) {
		return ""
	}
	text = strings.TrimPrefix(text, "./")
	if !nameForm.MatchString(text) || strings.HasPrefix(text, "K/") {
		return ""
	}
	beginning, isBeginning := strings.CutSuffix(text, "...")
	folder := strings.TrimSuffix(beginning, "/")
	if program, built := strings.CutPrefix(folder, "bin/"); built {
		folder = "cmd/" + program
	}
	switch ending := path.Ext(text); {
	case isTestName(text):
		return missing("no such test", slices.ContainsFunc(n.tests, func(test string) bool {
			return test == text || isBeginning && strings.HasPrefix(test, beginning)
		}))
	case strings.Contains(text, "/"):
		return missing("no such path", n.paths[folder] || n.imports[folder])
	case ending == ".go" || ending != "" && n.endings[ending]:
		return missing("no such file", n.files[text])
	case strings.Contains(text, "."):
		return missing("no such member", n.hasMember(strings.Split(text, ".")))
	case strings.Contains(text, "-") || capitals.MatchString(text):
		return ""
	}
	return missing("no such name", n.words[text] || n.texts[text])
}

// isNameInBlock reports whether a word of a block of code is looked up.
func (n *names) isNameInBlock(text string) bool {
	owner, _, isMember := strings.Cut(text, ".")
	return isTestName(text) || path.Ext(text) == ".go" || mixedCase.MatchString(text) || isMember && n.members[owner] != nil
}

// missing returns the problem unless the name was found.
func missing(problem string, found bool) string {
	if found {
		return ""
	}
	return problem
}

// hasMember reports whether each part of a name belongs to the one before: members of types or of
// packages of the tree. Packages from elsewhere are not looked into; keys of JSON and of the log may
// stand in any order, unless the first is a type or a package too.
func (n *names) hasMember(parts []string) bool {
	for imported := range n.imports {
		if path.Base(imported) == parts[0] && n.members[parts[0]] == nil {
			return true
		}
	}
	isMember := true
	for i := range parts[1:] {
		isMember = isMember && n.members[parts[i]][parts[i+1]]
	}
	if isMember {
		return true
	}
	if n.members[parts[0]] != nil {
		return false
	}
	if capitals.MatchString(parts[0]) {
		parts = parts[1:]
	} else {
		parts[0] = numbered.ReplaceAllString(parts[0], "")
	}
	return !slices.ContainsFunc(parts, func(part string) bool { return !n.texts[part] })
}

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

// runsPage is the page whose names are not checked. It records runs of older commits and uses the
// names of the code at that time. It is not rewritten when the code is renamed.
const runsPage = "docs/RUNS.md"

// externalWords lists single lower-case words that pages write in code type though they are neither
// names nor string literals of the code. The value says what the word is.
var externalWords = map[string]string{
	"drain":     "rule of the score",
	"duplicate": "rule of the score",
	"failback":  "rule of the score",
	"lost":      "rule of the score",
	"flowing":   "word of the simulator's protocol for a streamed response that has begun",
}

// Each name that README.md or a page under docs writes in code type exists in the repository.
//
// The form of a word in code type says what it names:
//
//   - Test..., Benchmark..., Fuzz...: a test; with "..." at the end, the prefix of a test's name
//   - name.go, or a name with another extension that occurs in the repository: a file
//   - a/b: a path relative to the root, or the path of an imported package; bin/a is built from cmd/a
//   - a.b: a method or field of a type, a declaration of a package, or nested keys of JSON or of the
//     log, such as limits.cores; in tierN.b and CLASS.b the log builds the group's name at run time
//   - a single word: a name that is declared in the repository (function, method, type, field,
//     constant, variable, package) or predeclared in Go, a JSON key, or a complete string literal,
//     such as a value of a setting, a flag or an attribute
//
// Brackets after a name and their contents are ignored: f(x), list[N]. Other words are not checked:
// texts with a space or a special character (commands, messages, types), words with a hyphen
// (flags, headers, commands), words that begin with a slash (request targets), paths outside the
// repository (../a, and K/a for the kit), words in capitals (signals, environment variables), and
// numbers. Blocks of code hold commands and diagrams. In them the test checks only files, tests,
// words with a capital inside or after a dot, and members of types and packages.
func TestNamesInPagesExist(t *testing.T) {
	repo := readRepository(t)
	index := repo.nameIndex()
	used := map[string]bool{}
	for _, name := range repo.pages(t) {
		if name == runsPage {
			continue
		}
		for _, word := range codeWords(repo.read(t, name)) {
			if externalWords[word.text] != "" && !word.inBlock {
				used[word.text] = true
				continue
			}
			if problem := index.problem(word); problem != "" {
				t.Errorf("%s:%d: `%s`: %s", name, word.line, word.text, problem)
			}
		}
	}
	for _, word := range slices.Sorted(maps.Keys(externalWords)) {
		switch {
		case !used[word]:
			t.Errorf("%s: listed as external, but no page uses it", word)
		case index.declared[word] || index.literals[word]:
			t.Errorf("%s: listed as external, but the code has it", word)
		}
	}
}

// A missing name is reported, whatever its form.
func TestMissingNamesAreReported(t *testing.T) {
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
	index := repo.nameIndex()
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
		if got := index.problem(codeWord{text: c.text}) == ""; got != c.found {
			t.Errorf("%s: got found %t, want %t", c.text, got, c.found)
		}
	}
	for text, found := range map[string]bool{"maxItems": true, "maxSize": false, "queue.go": true, "stack.go": false,
		"TestQueuePops": false, "clone": true, "Needs": true, "Queue.Push": true, "Queue.popAll": false,
		"Queue.Pop": false, "Queue.limit": true, "Queue.size": false} {
		if got := index.problem(codeWord{text: text, inBlock: true}) == ""; got != found {
			t.Errorf("%s in a block: got found %t, want %t", text, got, found)
		}
	}
}

// Words in code type are read from text and from blocks of code, but not from generated tables.
func TestCodeWordsOfPages(t *testing.T) {
	got := codeWords("# Page\n\nA `name` and `two words`.\n    `stillText`\n\n    block.go -> readBlock\n\n```\nfenced\n```\n" +
		"<!-- fleetbench:path -->\n`generated`\n<!-- /fleetbench -->\n`last`\n")
	want := []codeWord{{"name", 3, false}, {"two words", 3, false}, {"stillText", 4, false}, {"block.go", 6, true},
		{"readBlock", 6, true}, {"fenced", 9, true}, {"last", 14, false}}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// codeWord is one word, or one span of text, that a page writes in code type.
type codeWord struct {
	text    string
	line    int
	inBlock bool // in a block of code
}

// blockWordPattern matches one word in a block of code: names joined by dots and slashes.
var blockWordPattern = regexp.MustCompile(`[A-Za-z_][A-Za-z0-9_]*(?:[./][A-Za-z0-9_]+)*`)

// codeWords returns the words that a page writes in code type. It leaves out generated tables,
// which 'fleetbench report' writes.
func codeWords(page string) (words []codeWord) {
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
			for _, text := range blockWordPattern.FindAllString(line, -1) {
				words = append(words, codeWord{text, i + 1, true})
			}
		default:
			block = block && strings.TrimSpace(line) == ""
			for _, span := range codeSpan.FindAllStringSubmatch(line, -1) {
				words = append(words, codeWord{span[1], i + 1, false})
			}
		}
		blank = strings.TrimSpace(line) == ""
	}
	return words
}

// codeSpan matches a span in code type within a line.
var codeSpan = regexp.MustCompile("`([^`]+)`")

var (
	// bracketed matches an index or length anywhere, and arguments at the end.
	bracketed = regexp.MustCompile(`\[[A-Za-z0-9]*\]|\([^()]*\)$`)
	// namePattern matches names joined by dots or slashes, also with a slash or "..." at the end.
	namePattern = regexp.MustCompile(`^[A-Za-z_][A-Za-z0-9_]*(?:[./][A-Za-z0-9_-]+)*(?:/|/?\.\.\.)?$`)
	// numberSuffix matches the end of a group's name such as tierN.
	numberSuffix = regexp.MustCompile(`[0-9N]$`)
	allCapitals  = regexp.MustCompile(`^[A-Z0-9_]+$`)
	// mixedCase matches a word with a capital inside or after a dot.
	mixedCase  = regexp.MustCompile(`[a-z0-9]\.?[A-Z]`)
	testPrefix = regexp.MustCompile(`^(Test|Benchmark|Fuzz)[A-Z]`)
)

// isTestName reports whether 'go test' runs a function with the name.
func isTestName(name string) bool { return testPrefix.MatchString(name) }

// problem says why a word names nothing that exists. It returns "" if the word names something, or
// if it isn't checked.
func (n *nameIndex) problem(w codeWord) string {
	text := bracketed.ReplaceAllString(w.text, "")
	if w.inBlock && !n.isNameInBlock(text) {
		return ""
	}
	text = strings.TrimPrefix(text, "./")
	if !namePattern.MatchString(text) || strings.HasPrefix(text, "K/") {
		return ""
	}
	prefix, isPrefix := strings.CutSuffix(text, "...")
	dir := strings.TrimSuffix(prefix, "/")
	if program, isBinary := strings.CutPrefix(dir, "bin/"); isBinary {
		dir = "cmd/" + program
	}
	switch extension := path.Ext(text); {
	case isTestName(text):
		return problemUnless("no such test", slices.ContainsFunc(n.tests, func(test string) bool {
			return test == text || isPrefix && strings.HasPrefix(test, prefix)
		}))
	case strings.Contains(text, "/"):
		return problemUnless("no such path", n.paths[dir] || n.imports[dir])
	case extension == ".go" || extension != "" && n.extensions[extension]:
		return problemUnless("no such file", n.files[text])
	case strings.Contains(text, "."):
		return problemUnless("no such member", n.hasMember(strings.Split(text, ".")))
	case strings.Contains(text, "-") || allCapitals.MatchString(text):
		return ""
	}
	return problemUnless("no such name", n.declared[text] || n.literals[text])
}

// isNameInBlock reports whether a word in a block of code is checked.
func (n *nameIndex) isNameInBlock(text string) bool {
	owner, _, isMember := strings.Cut(text, ".")
	return isTestName(text) || path.Ext(text) == ".go" || mixedCase.MatchString(text) || isMember && n.members[owner] != nil
}

// problemUnless returns "" if the name was found, else the problem.
func problemUnless(problem string, found bool) string {
	if found {
		return ""
	}
	return problem
}

// hasMember reports whether a name with dots exists. A name that begins with a package from outside
// the module is not checked further. In a name that begins with a type or a package of the
// repository, each part has to be a member of the part before. Any other name consists of keys of
// JSON or of the log, of which each has to exist; their nesting is not checked.
func (n *nameIndex) hasMember(parts []string) bool {
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
	if allCapitals.MatchString(parts[0]) {
		parts = parts[1:]
	} else {
		parts[0] = numberSuffix.ReplaceAllString(parts[0], "")
	}
	return !slices.ContainsFunc(parts, func(part string) bool { return !n.literals[part] })
}
